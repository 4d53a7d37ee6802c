import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * A wave of machines with at most one away at once (rule LIMIT). The first order for a machine gets
 * no answer and is carried out late, and the process that sent it is killed.
 */
final class WaveCase {
  private static final int LENGTH_MS = 25_000;
  private static final int WAVE = 1;
  /** The demand has risen by then, and the sender has not yet repeated its order. */
  private static final long KILL_AFTER_NANOS = 1_200_000_000L;

  private WaveCase() {}

  public static void main(String[] args) {
    Lab.exitWith(() -> run(Path.of(args[0]), Path.of(args[1]), Lab.hasTrouble()));
  }

  private static int run(Path caseFolder, Path root, boolean trouble) throws Exception {
    Path folder = Files.createTempDirectory("review");
    List<Lab.Entry> entries = new ArrayList<>();
    try (Lab.Record record = new Lab.Record(caseFolder.resolve("record.txt"))) {
      try {
        return play(folder, root, trouble, entries, record);
      } finally {
        JobsCase.end(entries, folder, record);
      }
    }
  }

  private static int play(
      Path folder, Path root, boolean trouble, List<Lab.Entry> entries, Lab.Record record)
      throws Exception {
    Lab.Platform platform = new Lab.Platform(record);
    platform.wavesMaximum = 1;
    platform.put("keyed.op", "config", Lab.manifest(1, "alpha", "beta"));
    for (int i = 0; i < 8; i++) {
      platform.addMachine(
          "m-" + i, new Lab.Worker(platform, i % 2 == 0 ? "alpha" : "beta", 64_000));
    }
    for (int i = 1; i <= 3; i++) {
      Lab.Entry entry = new Lab.Entry("entry-" + i, platform, folder, root);
      entries.add(entry);
      entry.start();
    }
    if (!Lab.awaitReady(entries, Duration.ofSeconds(25))) {
      record.add("the entry processes did not become ready");
      return 2;
    }
    Thread.sleep(3_000);
    platform.holdUpNextUpkeep = trouble;
    var wave = Lab.JSON.createObjectNode().put("wave", WAVE).put("durationS", 60).put("maximum", 1);
    var machines = wave.putArray("machines");
    List.of("m-0", "m-1", "m-3", "m-5", "m-7").forEach(machines::add);
    record.add("operator: %s", wave);
    platform.put("keyed.op", "wave/" + WAVE, wave);

    Lab.Client client = new Lab.Client(entries, record);
    Random random = new Random();
    long start = System.nanoTime();
    boolean killed = false;
    long heldUpAt = 0;
    while ((System.nanoTime() - start) / 1_000_000 < LENGTH_MS) {
      if (heldUpAt == 0 && !platform.heldUpBy.isEmpty()) {
        heldUpAt = System.nanoTime();
      }
      if (!killed && heldUpAt > 0 && System.nanoTime() - heldUpAt > KILL_AFTER_NANOS) {
        killed = true;
        for (Lab.Entry entry : entries) {
          if (entry.name.equals(platform.heldUpBy)) {
            record.add("%s is killed and starts again", entry.name);
            entry.kill();
            Thread.sleep(500);
            entry.start();
          }
        }
      }
      if (!platform.heldUpBy.isEmpty() || !trouble) {
        String path = "/alpha/" + JobsCase.newId(random);
        Thread.ofVirtual().start(() -> submit(client, path));
      }
      Thread.sleep(250);
    }
    if (trouble && !platform.carriedOut) {
      record.add("no order was carried out late");
      return 2;
    }
    record.add("%d breaks of LIMIT", platform.limitBroken);
    return platform.limitBroken > 0 ? 1 : 0;
  }

  private static void submit(Lab.Client client, String path) {
    try {
      client.call("POST", path, JobsCase.job(4_000, 8_000, 12, false));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
