package dev.toucanstall.testbed.soak;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * Plays a soak with a seed. Ends with status 0 if all rules held, 1 if one was broken, 2 if the
 * soak could not run. The folder with the record and the logs is kept unless all rules held.
 */
public final class SoakMain {

  private static final int BROKEN = 1;
  private static final int NOT_RUN = 2;
  private static final long MILLIS = 1_000;

  @Parameter(description = "SEED", required = true)
  private List<Long> seeds = new ArrayList<>();

  @Parameter(names = "--class-path", description = "Class path of the entry processes")
  private String classPath = System.getProperty("java.class.path");

  @Parameter(names = "--java", description = "Java launcher of the entry processes")
  private String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();

  @Parameter(names = "--entries", description = "Number of entry processes")
  private int entries = 3;

  @Parameter(names = "--servers", description = "Number of backend servers")
  private int servers = 8;

  @Parameter(names = "--seconds", description = "Time in which faults begin")
  private int seconds = 60;

  @Parameter(names = "--settle-seconds", description = "Time in which accepted work completes")
  private int settleSeconds = 30;

  @Parameter(
      names = "--no-late-orders-after-restart",
      description = "Drop orders that would be carried out late by a later incarnation")
  private boolean dropsLateOrders;

  @Parameter(
      names = "--restarts",
      description = "Restart servers under their ids, kill the planner and cut these servers off")
  private boolean restarts;

  @Parameter(names = "--folder", description = "Folder in which the folder of each soak is made")
  private String parent = System.getProperty("java.io.tmpdir");

  @Parameter(names = "--keep", description = "Keep the folder also if all rules held")
  private boolean keeps;

  private SoakMain() {}

  /**
   * Plays one soak for each seed, one after another.
   *
   * @param args command-line options
   */
  public static void main(String[] args) {
    SoakMain main = new SoakMain();
    JCommander.newBuilder().addObject(main).build().parse(args);
    int status = 0;
    for (long seed : main.seeds) {
      status = Math.max(status, main.play(seed));
    }
    System.exit(status);
  }

  private int play(long seed) {
    try {
      Path folder =
          Files.createTempDirectory(Files.createDirectories(Path.of(parent)), "soak-" + seed + "-");
      List<String> breaks = play(seed, folder);
      breaks.forEach(System.out::println);
      System.out.println(Files.readAllLines(folder.resolve("record.txt")).getLast());
      boolean isKept = keeps || !breaks.isEmpty();
      System.out.printf(
          "seed %d: %d breaks%s%n", seed, breaks.size(), isKept ? ", see " + folder : "");
      if (!isKept) {
        delete(folder);
      }
      return breaks.isEmpty() ? 0 : BROKEN;
    } catch (Exception e) {
      System.out.printf("seed %d: could not run: %s%n", seed, e);
      return NOT_RUN;
    }
  }

  private List<String> play(long seed, Path folder) throws Exception {
    SoakRun.Options options =
        new SoakRun.Options(
            seed,
            entries,
            servers,
            seconds * MILLIS,
            settleSeconds * MILLIS,
            java,
            classPath,
            !dropsLateOrders,
            length -> restarts ? FaultPlan.ofRestarts(seed, length) : FaultPlan.of(seed, length));
    try (SoakRun run = new SoakRun(options, folder)) {
      return run.play();
    }
  }

  private static void delete(Path folder) throws IOException {
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(file);
      }
    }
  }
}
