/** The reducer of an entry instance: pure functions from a state and an event to a transition. */
@NullMarked
package dev.toucanstall.core.reduce;

import org.jspecify.annotations.NullMarked;
