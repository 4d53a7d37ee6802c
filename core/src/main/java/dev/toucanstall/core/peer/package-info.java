/** Messages between entry instances, as typed values without an encoding. */
@NullMarked
package dev.toucanstall.core.peer;

import org.jspecify.annotations.NullMarked;
