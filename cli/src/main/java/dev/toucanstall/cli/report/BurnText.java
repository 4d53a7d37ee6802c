package dev.toucanstall.cli.report;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Renders the burn report for a terminal. Stateless. */
public final class BurnText {

  private static final double PERCENT = 100;
  private static final double PPM_PER_PERCENT = 10_000;

  private BurnText() {}

  /**
   * Renders a report.
   *
   * @return lines without a line break at the end
   */
  public static String render(BurnSummary summary) {
    List<String> lines = new ArrayList<>();
    lines.add("entry instances: " + String.join(" ", summary.instances()));
    if (!summary.missing().isEmpty()) {
      lines.add("not counted, no answer: " + String.join(" ", summary.missing()));
    }
    summary.teams().forEach(part -> render(part, lines));
    return String.join("\n", lines);
  }

  private static void render(BurnSummary.Part part, List<String> lines) {
    lines.add(
        String.format(
            Locale.ROOT,
            "%n%s at %s: objective %.3f%% started within %d ms; waited p50 %.1f ms, p99 %.1f ms",
            part.team(),
            part.service(),
            part.targetPpm() / PPM_PER_PERCENT,
            part.startMillis(),
            part.waitP50Millis(),
            part.waitP99Millis()));
    lines.add("  window    covered      total       good   burn  budget left  spent by");
    part.windows().forEach(window -> lines.add(line(window)));
  }

  private static String line(BurnSummary.Window window) {
    return String.format(
        Locale.ROOT,
        "  %-8s  %-8s  %9d  %9d  %5.2f  %10.1f%%  %s",
        formatDuration(window.seconds()),
        formatDuration(window.coveredSeconds()),
        window.total(),
        window.good(),
        window.burnRate(),
        window.budgetLeft() * PERCENT,
        describeSpending(window));
  }

  /** Describes the bad requests by reason and, separately, any callers' faults. */
  static String describeSpending(BurnSummary.Window window) {
    String spent = window.spentBy().isEmpty() ? "-" : window.spentBy().toString();
    return window.callersFaults().isEmpty()
        ? spent
        : spent + "; callers' faults " + window.callersFaults();
  }

  /** Formats a duration in its largest unit, rounded down, such as "5min". */
  static String formatDuration(long seconds) {
    Duration duration = Duration.ofSeconds(seconds);
    if (duration.toDays() > 0) {
      return duration.toDays() + "d";
    }
    if (duration.toHours() > 0) {
      return duration.toHours() + "h";
    }
    return duration.toMinutes() > 0 ? duration.toMinutes() + "min" : seconds + "s";
  }
}
