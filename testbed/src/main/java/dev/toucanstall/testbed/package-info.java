/** Placeholder. */
@NullMarked
package dev.toucanstall.testbed;

import org.jspecify.annotations.NullMarked;
