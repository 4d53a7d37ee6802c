package dev.toucanstall.testbed.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * Compares result files: {@code OLD[,OLD...] NEW[,NEW...]}. Prints for each value the medians,
 * their ratio and the spread of each side.
 */
public final class CompareMain {

  private static final int USAGE = 2;

  private CompareMain() {}

  /**
   * Prints the comparison.
   *
   * @param args old and new result files, each a list separated by commas
   */
  public static void main(String[] args) {
    if (args.length != 2) {
      System.out.println("expected: OLD[,OLD...] NEW[,NEW...]");
      System.exit(USAGE);
    }
    Map<String, List<Double>> before = values(args[0]);
    Map<String, List<Double>> after = values(args[1]);
    System.out.printf(
        "%-40s %12s %12s %7s  %s%n", "value", "old", "new", "ratio", "spread old / new");
    before.forEach(
        (name, oldValues) -> {
          List<Double> newValues = after.get(name);
          if (newValues != null) {
            System.out.println(line(name, oldValues, newValues));
          }
        });
  }

  private static Map<String, List<Double>> values(String files) {
    Map<String, List<Double>> values = new TreeMap<>();
    Stream.of(files.split(",", -1))
        .map(ResultFile::read)
        .forEach(
            result ->
                result
                    .values()
                    .forEach(
                        (name, value) ->
                            values.computeIfAbsent(name, n -> new ArrayList<>()).add(value)));
    return values;
  }

  private static String line(String name, List<Double> before, List<Double> after) {
    double ratio = median(before) == 0 ? Double.NaN : median(after) / median(before);
    return String.format(
        Locale.ROOT,
        "%-40s %12.3f %12.3f %7.3f  %s / %s",
        name,
        median(before),
        median(after),
        ratio,
        spread(before),
        spread(after));
  }

  private static double median(List<Double> values) {
    List<Double> sorted = values.stream().sorted().toList();
    return sorted.get(sorted.size() / 2);
  }

  private static String spread(List<Double> values) {
    return String.format(
        Locale.ROOT,
        "%.3f..%.3f",
        values.stream().mapToDouble(v -> v).min().orElse(0),
        values.stream().mapToDouble(v -> v).max().orElse(0));
  }
}
