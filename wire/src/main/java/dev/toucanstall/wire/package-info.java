/** Codecs of typed messages: JSON for the log and for operators, MessagePack for peers. */
@NullMarked
package dev.toucanstall.wire;

import org.jspecify.annotations.NullMarked;
