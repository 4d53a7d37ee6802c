/** Placeholder. */
@NullMarked
package dev.toucanstall.entry;

import org.jspecify.annotations.NullMarked;
