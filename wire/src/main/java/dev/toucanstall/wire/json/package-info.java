/** The JSON and MessagePack mappers and the documents that they write. */
@NullMarked
package dev.toucanstall.wire.json;

import org.jspecify.annotations.NullMarked;
