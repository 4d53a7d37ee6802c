/** Frames, handshake and messages of the links between entry instances. */
@NullMarked
package dev.toucanstall.wire.peer;

import org.jspecify.annotations.NullMarked;
