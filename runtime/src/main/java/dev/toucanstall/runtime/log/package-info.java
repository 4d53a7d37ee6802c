/** Structured log lines and the limit on their rate. */
@NullMarked
package dev.toucanstall.runtime.log;

import org.jspecify.annotations.NullMarked;
