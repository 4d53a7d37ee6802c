package dev.toucanstall.wire.report;

import java.util.Map;

/**
 * Outcomes of the requests that ended within a window.
 *
 * @param total number of requests that count towards the objective
 * @param good number of those that started in time and succeeded
 * @param reasons number of the other requests of {@code total}, by reason
 * @param callersFaults number of requests refused through the caller's fault, by reason; not part
 *     of {@code total}
 */
public record BurnCounts(
    long total, long good, Map<String, Long> reasons, Map<String, Long> callersFaults) {}
