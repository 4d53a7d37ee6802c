/** Placeholder. */
@NullMarked
package dev.toucanstall.runtime;

import org.jspecify.annotations.NullMarked;
