/** Encodings of the typed messages: JSON for the log and operators, MessagePack for peers. */
@NullMarked
package dev.toucanstall.wire;

import org.jspecify.annotations.NullMarked;
