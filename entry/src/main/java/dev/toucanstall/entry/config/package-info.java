/** The settings file of an entry instance. */
@NullMarked
package dev.toucanstall.entry.config;

import org.jspecify.annotations.NullMarked;
