/** Codecs of stored job records and of messages about jobs between entry instances. */
@NullMarked
package dev.toucanstall.wire.job;

import org.jspecify.annotations.NullMarked;
