/** The control loop: one thread that owns a state and runs a reducer over all its events. */
@NullMarked
package dev.toucanstall.runtime.loop;

import org.jspecify.annotations.NullMarked;
