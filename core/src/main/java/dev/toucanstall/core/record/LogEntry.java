package dev.toucanstall.core.record;

import dev.toucanstall.core.model.Producer;

/**
 * A record as read from the log. Immutable.
 *
 * @param offset offset of the record in the log, from 0
 * @param producer writer of the record
 * @param sequence sequence number of the record for its producer, from 1; the same when the record
 *     is appended again
 * @param body content of the record
 */
public record LogEntry(long offset, Producer producer, long sequence, RecordBody body) {}
