/** JSON and MessagePack mappers, and codecs of log records and snapshots. */
@NullMarked
package dev.toucanstall.wire.json;

import org.jspecify.annotations.NullMarked;
