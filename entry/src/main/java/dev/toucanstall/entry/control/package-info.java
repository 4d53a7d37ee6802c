/**
 * The control loop of an entry instance, the interpreter of its effects, and the threads that read
 * and append to the platform's log and poll its instance list.
 */
@NullMarked
package dev.toucanstall.entry.control;

import org.jspecify.annotations.NullMarked;
