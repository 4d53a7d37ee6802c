package dev.toucanstall.core.record;

import dev.toucanstall.core.model.Producer;

/**
 * A record as read from the log.
 *
 * @param offset its place in the log
 * @param producer who wrote it
 * @param sequence the producer's number of it, from 1; a repeat has the same number
 * @param body what it says
 */
public record LogEntry(long offset, Producer producer, long sequence, RecordBody body) {}
