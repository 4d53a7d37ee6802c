package dev.toucanstall.wire.report;

import java.util.List;

/**
 * Error budget burn as counted by one entry instance.
 *
 * @param instance name of the entry instance
 * @param startedSecondsAgo time since the instance began to count, in seconds; earlier requests are
 *     not included
 * @param lines one line for each team and service
 */
public record BurnReport(String instance, long startedSecondsAgo, List<Line> lines) {

  /** Copies the list. */
  public BurnReport {
    lines = List.copyOf(lines);
  }

  /**
   * Outcomes of one team's requests to one service.
   *
   * @param team name of the team
   * @param service name of the service
   * @param windows counts by window, the shortest window first
   * @param minutes counts of each of the last minutes, the oldest first
   * @param waits waits until start in microseconds, an HdrHistogram in Base64
   */
  public record Line(
      String team, String service, List<Window> windows, List<Window> minutes, String waits) {

    /** Copies the lists. */
    public Line {
      windows = List.copyOf(windows);
      minutes = List.copyOf(minutes);
    }
  }

  /**
   * Counts of one window that ends now, or of one past minute.
   *
   * @param seconds length of the window, in seconds
   * @param coveredSeconds part of the window during which the instance was counting, in seconds
   * @param counts outcomes of the requests that ended within the window
   */
  public record Window(long seconds, long coveredSeconds, BurnCounts counts) {}
}
