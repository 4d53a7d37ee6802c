import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Work items that last fail by themselves, each once, in a pool that runs nothing else. */
final class Lasting extends Rig {

  private static final int WORKERS = 2;
  private static final long CPU = 64_000;
  private static final int JOBS = 2;
  private static final int ITEMS = 5;
  private static final long GAP_MS = 3_000;

  /** Time from the end of its last run after which a work item that lasts must be at work. */
  private static final long LOST_AFTER_MS = 6_000;

  /** Time for which nothing of it may run then. */
  private static final long LOST_FOR_MS = 3_000;

  /** When the last run of each work item ended; one that is present has none. */
  private final Map<String, Long> absentSinceMs = new HashMap<>();

  private final Set<String> reported = new HashSet<>();

  Lasting() throws Exception {}

  public static void main(String[] args) throws Exception {
    run(new Lasting());
  }

  @Override
  void started(Worker worker, Worker.Run r, com.fasterxml.jackson.databind.JsonNode order) {
    super.started(worker, r, order);
    absentSinceMs.remove(r.task);
  }

  @Override
  void ended(Worker worker, Worker.Run r, String how) {
    super.ended(worker, r, how);
    absentSinceMs.put(r.task, nowMs());
  }

  @Override
  boolean play() throws Exception {
    configure(false);
    for (int i = 0; i < WORKERS; i++) {
      addWorker("i-" + (i + 1), "pool-a", "r1-" + i, CPU);
    }
    for (int i = 0; i < 3; i++) {
      startEntry("frontend-zone-a-" + (i + 1));
    }
    if (!awaitReady()) {
      return false;
    }
    for (int j = 0; j < JOBS; j++) {
      if (submit(id(j + 1), job(step(ITEMS, 4_000, 500).put("longRunning", true))).status()
          != 200) {
        return false;
      }
    }
    Thread.sleep(3_000);
    if (present() != JOBS * ITEMS) {
      log("only " + present() + " work items are at work");
      return false;
    }
    for (int i = 0; i < JOBS * ITEMS; i++) {
      if (trouble) {
        failOne(workers.get(i % WORKERS));
      }
      watch(GAP_MS);
    }
    watch(20_000);
    return true;
  }

  private int present() {
    synchronized (lock) {
      return workers.stream().mapToInt(w -> w.runs.size()).sum();
    }
  }

  /** Lets one work item on a worker fail, one that has not failed before if there is one. */
  private void failOne(Worker worker) {
    synchronized (lock) {
      Optional<Worker.Run> first =
          worker.runs.values().stream()
              .min(Comparator.<Worker.Run>comparingLong(r -> r.run).thenComparing(r -> r.task));
      first.ifPresent(r -> worker.end(r, "failed"));
    }
  }

  /** Watches the work items for a time. */
  private void watch(long forMs) throws InterruptedException {
    long untilMs = nowMs() + forMs;
    while (nowMs() < untilMs) {
      synchronized (lock) {
        long used =
            workers.stream()
                .flatMap(w -> w.runs.values().stream())
                .mapToLong(r -> r.item.cpu())
                .sum();
        absentSinceMs.forEach(
            (task, sinceMs) -> {
              boolean lost = nowMs() - sinceMs > LOST_AFTER_MS + LOST_FOR_MS;
              if (lost && used < WORKERS * CPU / 2 && reported.add(task)) {
                broken(
                    "LOST: "
                        + task
                        + " has not run for "
                        + (nowMs() - sinceMs)
                        + " ms; in use are "
                        + used
                        + " of "
                        + WORKERS * CPU);
              }
            });
      }
      Thread.sleep(20);
    }
  }
}
