package dev.toucanstall.wire.report;

import java.util.List;

/**
 * One entry instance's part of the burn report.
 *
 * @param instance the entry instance
 * @param startedSecondsAgo how long it has counted; what came before is not known
 * @param lines one line for each team and service
 */
public record BurnReport(String instance, long startedSecondsAgo, List<Line> lines) {

  /** Creates the report. */
  public BurnReport {
    lines = List.copyOf(lines);
  }

  /**
   * What one team's requests to one service came to.
   *
   * @param team the team
   * @param service the service
   * @param windows the counts by window, the shortest first
   * @param minutes the counts of the last minutes, the oldest first
   * @param waits the waits until start in microseconds, an HdrHistogram in base 64
   */
  public record Line(
      String team, String service, List<Window> windows, List<Window> minutes, String waits) {

    /** Creates the line. */
    public Line {
      windows = List.copyOf(windows);
      minutes = List.copyOf(minutes);
    }
  }

  /**
   * The counts of one window.
   *
   * @param seconds its length
   * @param coveredSeconds how much of it this instance has lived through
   * @param counts the counts
   */
  public record Window(long seconds, long coveredSeconds, BurnCounts counts) {}
}
