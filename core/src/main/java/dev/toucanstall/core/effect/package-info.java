/** Everything that a decision asks the interpreter to carry out. */
@NullMarked
package dev.toucanstall.core.effect;

import org.jspecify.annotations.NullMarked;
