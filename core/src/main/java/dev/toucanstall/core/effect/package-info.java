/** Effects that the reducer decides on, as typed values without an encoding. */
@NullMarked
package dev.toucanstall.core.effect;

import org.jspecify.annotations.NullMarked;
