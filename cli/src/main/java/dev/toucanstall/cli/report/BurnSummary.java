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
 * The burn of service-level objectives, merged over the entry instances.
 *
 * @param instances the entry instances that answered
 * @param missing those that did not; what they counted is not in the report
 * @param teams one part for each team and service
 */
public record BurnSummary(List<String> instances, List<String> missing, List<Part> teams) {

  private static final double MILLION = 1_000_000;
  private static final double MEDIAN = 50;
  private static final double HIGH = 99;
  private static final double MICROS_PER_MILLI = 1_000;

  /** Creates the summary. */
  public BurnSummary {
    instances = List.copyOf(instances);
    missing = List.copyOf(missing);
    teams = List.copyOf(teams);
  }

  /**
   * One team's burn at one service.
   *
   * @param team the team
   * @param service the service
   * @param startMillis the objective: started within
   * @param targetPpm the objective: good requests in a million
   * @param windows the burn by window
   * @param minutes good and bad requests of the last minutes, the oldest first
   * @param waitP50Millis the median wait until start
   * @param waitP99Millis the 99th percentile of the wait until start
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
   * The burn of one window.
   *
   * @param seconds its length
   * @param coveredSeconds how much of it the instances have lived through together at the least
   * @param total how many requests ended
   * @param good how many were good
   * @param burnRate bad requests over those that the objective allows; 1 spends the budget exactly
   * @param budgetLeft the part of the error budget that is left, negative if it is overspent
   * @param spentBy the bad requests by reason
   * @param callersFaults requests refused for reasons that lie with the caller; they spend nothing
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
   * Merges the parts of entry instances.
   *
   * @param parts the parts
   * @param missing the instances that did not answer
   * @param settings the settings below {@code /teams}
   * @param team only this team, all if empty
   * @param service only this service, all if empty
   * @return the summary
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
        boolean wanted =
            (team.isEmpty() || team.equals(line.team()))
                && (service.isEmpty() || service.equals(line.service()));
        if (wanted) {
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
    long startMillis = number(settings, path + "start-ms", Objective.DEFAULT.startMillis());
    long target =
        number(settings, path + "success-ppm", Objective.DEFAULT.successPartsPerMillion());
    List<Window> windows = new ArrayList<>();
    for (int i = 0; i < lines.get(0).windows().size(); i++) {
      int index = i;
      windows.add(window(lines.stream().map(line -> line.windows().get(index)).toList(), target));
    }
    Histogram waits = waits(lines);
    return new Part(
        key.team,
        key.service,
        startMillis,
        target,
        windows,
        minutes(lines),
        waits.getValueAtPercentile(MEDIAN) / MICROS_PER_MILLI,
        waits.getValueAtPercentile(HIGH) / MICROS_PER_MILLI);
  }

  private static long number(SortedMap<String, String> settings, String path, long absent) {
    String text = settings.get(path);
    return text == null ? absent : Long.parseLong(text);
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

  /** Adds up the instances' minutes, aligned at the newest. */
  private static List<BurnCounts> minutes(List<BurnReport.Line> lines) {
    int longest = lines.stream().mapToInt(line -> line.minutes().size()).max().orElse(0);
    List<BurnCounts> minutes = new ArrayList<>();
    for (int back = longest; back >= 1; back--) {
      List<BurnCounts> same = new ArrayList<>();
      for (BurnReport.Line line : lines) {
        int index = line.minutes().size() - back;
        if (index >= 0) {
          same.add(line.minutes().get(index).counts());
        }
      }
      minutes.add(sum(same));
    }
    return minutes;
  }

  private static Histogram waits(List<BurnReport.Line> lines) {
    Histogram all = new Histogram(2);
    for (BurnReport.Line line : lines) {
      ByteBuffer bytes = ByteBuffer.wrap(Base64.getDecoder().decode(line.waits()));
      try {
        all.add(Histogram.decodeFromByteBuffer(bytes, 0));
      } catch (RuntimeException e) {
        throw new IllegalArgumentException(
            "histogram of team \"%s\" is malformed".formatted(line.team()), e);
      }
    }
    return all;
  }
}
