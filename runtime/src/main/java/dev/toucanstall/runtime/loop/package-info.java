/** The control loop: one thread that owns a state and applies a reducer to all events. */
@NullMarked
package dev.toucanstall.runtime.loop;

import org.jspecify.annotations.NullMarked;
