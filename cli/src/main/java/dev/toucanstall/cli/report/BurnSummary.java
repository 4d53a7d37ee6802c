package dev.toucanstall.cli.report;

import dev.toucanstall.core.settings.Objective;
import dev.toucanstall.wire.report.BurnCounts;
import dev.toucanstall.wire.report.BurnReport;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * Error-budget burn of service-level objectives, merged over the entry instances. Written out as
 * JSON under the names of the record components.
 *
 * @param instances entry instances that answered
 * @param missing URLs of the entry instances without an answer, whose counts are not included
 * @param teams one part for each team and service, sorted
 */
public record BurnSummary(List<String> instances, List<String> missing, List<Part> teams) {

  private static final double MILLION = 1_000_000;
  private static final double P50 = 50;
  private static final double P99 = 99;
  private static final double MICROS_PER_MILLI = 1_000;

  /** Copies the lists. */
  public BurnSummary {
    instances = List.copyOf(instances);
    missing = List.copyOf(missing);
    teams = List.copyOf(teams);
  }

  /**
   * Burn of one team at one service.
   *
   * @param team name of the team
   * @param service name of the service
   * @param startMillis objective: maximum wait until start of a good request, in milliseconds
   * @param targetPpm objective: good requests, in parts per million
   * @param windows burn by length of the window
   * @param minutes counts of each of the last minutes, the oldest first
   * @param waitP50Millis median wait until start, in milliseconds
   * @param waitP99Millis 99th percentile of the wait until start, in milliseconds
   */
  public record Part(
      String team,
      String service,
      long startMillis,
      long targetPpm,
      List<Window> windows,
      List<BurnCounts> minutes,
      double waitP50Millis,
      double waitP99Millis) {}

  /**
   * Burn within one window.
   *
   * @param seconds length of the window
   * @param coveredSeconds seconds of the window that every instance has counted, which is less than
   *     the window after a start
   * @param total finished requests
   * @param good good requests
   * @param burnRate bad requests divided by those that the objective allows: 1 spends the budget
   *     exactly, {@code Double.MAX_VALUE} means that none are allowed
   * @param budgetLeft remaining fraction of the error budget, negative if it is overspent
   * @param spentBy bad requests by reason
   * @param callersFaults requests refused through the caller's fault, by reason; they spend no
   *     budget
   */
  public record Window(
      long seconds,
      long coveredSeconds,
      long total,
      long good,
      double burnRate,
      double budgetLeft,
      Map<String, Long> spentBy,
      Map<String, Long> callersFaults) {}

  private record Key(String team, String service) {}

  /**
   * Merges the reports of entry instances.
   *
   * @param parts one report for each instance that answered
   * @param missing URLs of the instances that did not answer
   * @param settings settings below {@code /teams}, by path
   * @param team name of the only team to include; empty for all
   * @param service name of the only service to include; empty for all
   * @throws IllegalArgumentException if a histogram is malformed
   */
  public static BurnSummary of(
      List<BurnReport> parts,
      List<String> missing,
      SortedMap<String, String> settings,
      String team,
      String service) {
    Map<Key, List<BurnReport.Line>> lines = new LinkedHashMap<>();
    for (BurnReport part : parts) {
      for (BurnReport.Line line : part.lines()) {
        boolean isSelected =
            (team.isEmpty() || team.equals(line.team()))
                && (service.isEmpty() || service.equals(line.service()));
        if (isSelected) {
          lines
              .computeIfAbsent(new Key(line.team(), line.service()), k -> new ArrayList<>())
              .add(line);
        }
      }
    }
    List<Part> teams =
        lines.entrySet().stream()
            .map(entry -> part(entry.getKey(), entry.getValue(), settings))
            .sorted((a, b) -> (a.team() + a.service()).compareTo(b.team() + b.service()))
            .toList();
    return new BurnSummary(parts.stream().map(BurnReport::instance).toList(), missing, teams);
  }

  private static Part part(
      Key key, List<BurnReport.Line> lines, SortedMap<String, String> settings) {
    String path = "/teams/%s/objective/".formatted(key.team);
    long startMillis = longSetting(settings, path + "start-ms", Objective.DEFAULT.startMillis());
    long target =
        longSetting(settings, path + "success-ppm", Objective.DEFAULT.successPartsPerMillion());
    List<Window> windows = new ArrayList<>();
    for (int i = 0; i < lines.get(0).windows().size(); i++) {
      int index = i;
      windows.add(window(lines.stream().map(line -> line.windows().get(index)).toList(), target));
    }
    Histogram waits = mergeWaits(lines);
    return new Part(
        key.team,
        key.service,
        startMillis,
        target,
        windows,
        mergeMinutes(lines),
        waits.getValueAtPercentile(P50) / MICROS_PER_MILLI,
        waits.getValueAtPercentile(P99) / MICROS_PER_MILLI);
  }

  private static long longSetting(
      SortedMap<String, String> settings, String path, long defaultValue) {
    String text = settings.get(path);
    return text == null ? defaultValue : Long.parseLong(text);
  }

  private static Window window(List<BurnReport.Window> windows, long targetPpm) {
    BurnCounts sum = sum(windows.stream().map(BurnReport.Window::counts).toList());
    double allowed = sum.total() * (MILLION - targetPpm) / MILLION;
    long bad = sum.total() - sum.good();
    double rate = bad == 0 ? 0 : allowed == 0 ? Double.MAX_VALUE : bad / allowed;
    long covered = windows.stream().mapToLong(BurnReport.Window::coveredSeconds).min().orElse(0);
    return new Window(
        windows.get(0).seconds(),
        covered,
        sum.total(),
        sum.good(),
        rate,
        1 - rate,
        sum.reasons(),
        sum.callersFaults());
  }

  private static BurnCounts sum(List<BurnCounts> all) {
    return new BurnCounts(
        all.stream().mapToLong(BurnCounts::total).sum(),
        all.stream().mapToLong(BurnCounts::good).sum(),
        merge(all.stream().map(BurnCounts::reasons).toList()),
        merge(all.stream().map(BurnCounts::callersFaults).toList()));
  }

  private static Map<String, Long> merge(List<Map<String, Long>> counts) {
    Map<String, Long> sums = new TreeMap<>();
    counts.forEach(one -> one.forEach((reason, n) -> sums.merge(reason, n, Long::sum)));
    return sums;
  }

  /** Adds up the instances' counts by minute, aligned at the newest minute. */
  private static List<BurnCounts> mergeMinutes(List<BurnReport.Line> lines) {
    int minuteCount = lines.stream().mapToInt(line -> line.minutes().size()).max().orElse(0);
    List<BurnCounts> minutes = new ArrayList<>();
    for (int minutesAgo = minuteCount; minutesAgo >= 1; minutesAgo--) {
      List<BurnCounts> counts = new ArrayList<>();
      for (BurnReport.Line line : lines) {
        int index = line.minutes().size() - minutesAgo;
        if (index >= 0) {
          counts.add(line.minutes().get(index).counts());
        }
      }
      minutes.add(sum(counts));
    }
    return minutes;
  }

  private static Histogram mergeWaits(List<BurnReport.Line> lines) {
    Histogram merged = new Histogram(2);
    for (BurnReport.Line line : lines) {
      ByteBuffer bytes = ByteBuffer.wrap(Base64.getDecoder().decode(line.waits()));
      try {
        merged.add(Histogram.decodeFromByteBuffer(bytes, 0));
      } catch (RuntimeException e) {
        throw new IllegalArgumentException(
            "histogram of team \"%s\" is malformed".formatted(line.team()), e);
      }
    }
    return merged;
  }
}
