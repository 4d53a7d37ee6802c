/** JSON over HTTP with Jetty, for operators' pages, stand-ins and clients. */
@NullMarked
package dev.toucanstall.runtime.http;

import org.jspecify.annotations.NullMarked;
