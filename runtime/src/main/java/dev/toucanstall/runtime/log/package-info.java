/** Structured log lines. */
@NullMarked
package dev.toucanstall.runtime.log;

import org.jspecify.annotations.NullMarked;
