/** Placeholder. */
@NullMarked
package dev.toucanstall.wire;

import org.jspecify.annotations.NullMarked;
