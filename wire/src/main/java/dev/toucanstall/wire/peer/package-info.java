/** Frames and the handshake of links between entry instances. */
@NullMarked
package dev.toucanstall.wire.peer;

import org.jspecify.annotations.NullMarked;
