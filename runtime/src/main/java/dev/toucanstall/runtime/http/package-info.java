/** HTTP servers and clients on Jetty, for operators' pages, test services and outgoing calls. */
@NullMarked
package dev.toucanstall.runtime.http;

import org.jspecify.annotations.NullMarked;
