package dev.toucanstall.wire.report;

import java.util.Map;

/**
 * What became of requests within a window.
 *
 * @param total how many ended
 * @param good how many started in time and succeeded
 * @param reasons how many of the others ended for each reason
 * @param callersFaults how many more were refused for reasons that lie with the caller
 */
public record BurnCounts(
    long total, long good, Map<String, Long> reasons, Map<String, Long> callersFaults) {}
