/** Placeholder. */
@NullMarked
package dev.toucanstall.cli;

import org.jspecify.annotations.NullMarked;
