/** Encodings of stored job records and of what entry instances send each other about jobs. */
@NullMarked
package dev.toucanstall.wire.job;

import org.jspecify.annotations.NullMarked;
