/** Records of the platform's log, as typed values without an encoding. */
@NullMarked
package dev.toucanstall.core.record;

import org.jspecify.annotations.NullMarked;
