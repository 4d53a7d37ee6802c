/** The control loop of an entry instance and the interpreter of its effects. */
@NullMarked
package dev.toucanstall.entry.control;

import org.jspecify.annotations.NullMarked;
