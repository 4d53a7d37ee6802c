import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.Map;

/**
 * Sends jobs to three entry processes for some seconds, with a disruption in the middle, and asks
 * for each accepted job {@code finish_s} after the end of the traffic (rule LOST).
 */
final class JobsCase {
  static final int FINISH_MS = 14_000;
  private static final int TRAFFIC_MS = 12_000;
  private static final int TROUBLE_AT_MS = 6_000;
  private static final int JOB_INTERVAL_MS = 250;
  private static final double IDLE_LIMIT_S = 3;
  private static final int MAX_BREAKS = 4;

  private JobsCase() {}

  /** What a case adds to the traffic. */
  interface Trouble {
    /** Acts before the entry processes start. */
    default void beforeStart(Lab.Platform platform, Lab.Record record) {}

    /** Acts in the middle of the traffic; returns the path of a job that it hands in, or "". */
    String strike(
        Lab.Platform platform, Lab.Client client, List<Lab.Entry> entries, Lab.Record record)
        throws Exception;
  }

  static String newId(Random random) {
    return "%016x".formatted(random.nextLong());
  }

  static String job(int ms, int cpu, int count, boolean lasting) {
    return ("{\"spec\":\"ms=%d cpu=%d\",\"steps\":[{\"count\":%d,\"cpu\":%d,\"memMb\":4,\"estimateMs\":%d%s}]}")
        .formatted(ms, cpu, count, cpu, lasting ? 500 : ms, lasting ? ",\"longRunning\":true,\"mayMiss\":1" : "");
  }

  static int run(Path caseFolder, Path root, Trouble trouble, int finishMs) throws Exception {
    Path folder = Files.createTempDirectory("review");
    List<Lab.Entry> entries = new ArrayList<>();
    try (Lab.Record record = new Lab.Record(caseFolder.resolve("record.txt"))) {
      try {
        return play(folder, root, trouble, finishMs, entries, record);
      } finally {
        end(entries, folder, record);
      }
    }
  }

  /** Ends all entry processes and copies the lines of their logs that explain the outcome. */
  static void end(List<Lab.Entry> entries, Path folder, Lab.Record record) throws Exception {
    for (Lab.Entry entry : entries) {
      if (entry.process != null) {
        entry.kill();
      }
    }
    for (Lab.Entry entry : entries) {
      Path log = folder.resolve(entry.name + ".log");
      if (Files.exists(log)) {
        Files.readAllLines(log).stream()
            .filter(line -> line.contains("decision-failed") || line.contains("planner-elected"))
            .map(line -> line.length() > 300 ? line.substring(0, 300) : line)
            .limit(8)
            .forEach(line -> record.add("log of %s: %s", entry.name, line));
      }
      Files.deleteIfExists(log);
      Files.deleteIfExists(folder.resolve(entry.name + ".json"));
    }
    Files.deleteIfExists(folder);
  }

  private static int play(
      Path folder,
      Path root,
      Trouble trouble,
      int finishMs,
      List<Lab.Entry> entries,
      Lab.Record record)
      throws Exception {
    Lab.Platform platform = new Lab.Platform(record);
    platform.put("keyed.op", "config", Lab.manifest(1, "alpha", "beta"));
    for (int i = 0; i < 8; i++) {
      Lab.Worker worker = new Lab.Worker(platform, i % 2 == 0 ? "alpha" : "beta", 64_000);
      platform.addMachine("m-" + i, worker);
    }
    if (trouble != null) {
      trouble.beforeStart(platform, record);
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
    Thread.sleep(2_000);
    Lab.Client client = new Lab.Client(entries, record);
    Random random = new Random();
    Map<String, String> accepted = new ConcurrentHashMap<>();
    String added = "";
    String lasting = newId(random);
    if (client.call("POST", "/alpha/" + lasting, job(100_000, 500, 4, true)).status() != 200) {
      record.add("the lasting job was not accepted");
      return 2;
    }
    List<Thread> clients = new ArrayList<>();
    long start = System.nanoTime();
    boolean struck = false;
    while (true) {
      long ms = (System.nanoTime() - start) / 1_000_000;
      if (ms >= TRAFFIC_MS) {
        break;
      }
      if (trouble != null && !struck && ms >= TROUBLE_AT_MS) {
        struck = true;
        added = trouble.strike(platform, client, entries, record);
      }
      String path = (random.nextBoolean() ? "/alpha/" : "/beta/") + newId(random);
      clients.add(Thread.ofVirtual().start(() -> submit(client, path, accepted)));
      Thread.sleep(JOB_INTERVAL_MS);
    }
    for (Thread thread : clients) {
      thread.join();
    }
    record.add("the traffic has ended, %d short jobs were accepted", accepted.size());
    if (accepted.size() < TROUBLE_AT_MS / JOB_INTERVAL_MS / 2) {
      record.add("too few jobs were accepted before the disruption");
      return 2;
    }
    Thread.sleep(finishMs);
    int broken = 0;
    List<String> paths = new ArrayList<>(accepted.keySet());
    if (!added.isEmpty()) {
      paths.addFirst(added);
    }
    for (String path : paths) {
      Lab.Client.Answer answer = client.call("GET", path, "");
      if (answer.status() != 200) {
        broken++;
        record.add("LOST broken: accepted job %s gets no answer in time, last status %d", path, answer.status());
      } else if (!answer.body().contains("completed")) {
        String id = path.substring(path.lastIndexOf('/') + 1);
        Double last = Lab.Worker.LAST_RUNNING.get(id);
        if (last == null || record.seconds() - last > IDLE_LIMIT_S) {
          broken++;
          record.add("LOST broken: accepted job %s is \"%s\" and has nothing running", path, answer.body());
        }
      }
      if (broken >= MAX_BREAKS) {
        record.add("no further jobs are asked for");
        break;
      }
    }
    Double lastServed = Lab.Worker.LAST_RUNNING.get(lasting);
    if (lastServed == null || record.seconds() - lastServed > IDLE_LIMIT_S) {
      broken++;
      record.add("LOST broken: the lasting job %s was last at work at %.3f s", lasting, lastServed == null ? -1 : lastServed);
    }
    record.add("%d breaks of LOST, %d work items lapsed, %d appends refused for their size", broken, Lab.Worker.lapsed, platform.appendsRefusedForSize);
    return broken > 0 ? 1 : 0;
  }

  private static void submit(Lab.Client client, String path, Map<String, String> accepted) {
    try {
      if (client.call("POST", path, job(400, 500, 4, false)).status() == 200) {
        accepted.put(path, "");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
