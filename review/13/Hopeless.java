import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/**
 * One job of twenty can never be done. Its failed runs have all workers of the pool suspended, so a
 * work item that lasts and has failed is not started again.
 */
final class Hopeless extends Rig {

  private static final int WORKERS = 6;
  private static final long CPU = 64_000;

  /** Jobs that are sent within the time below; the last of them is hopeless. */
  private static final int JOBS = 20;

  private static final long JOBS_MS = 3_000;

  /** Time from the first of them to the failure of the work item. */
  private static final long FAILURE_MS = 7_500;

  /** Times of the rule: from 6 s after the last run on, for 3 s. */
  private static final long GRACE_MS = 6_000;

  private static final long IDLE_MS = 3_000;

  /** Time for which the case goes on after the failure. */
  private static final long REST_MS = 20_000;

  private static final String LASTING = id(1);
  private static final String TASK = LASTING + ".0.0.0";

  private Hopeless() throws Exception {}

  public static void main(String[] args) throws Exception {
    run(new Hopeless());
  }

  @Override
  boolean play() throws Exception {
    open();
    for (int i = 0; i < WORKERS; i++) {
      addWorker("i-" + (i + 1), "r1-" + i / 4, CPU);
    }
    for (int i = 0; i < 3; i++) {
      startEntry("frontend-" + (i + 1));
    }
    if (!awaitReady(30_000)) {
      return false;
    }
    ObjectNode lasting = job("lasts", 5, 1_000, 1_000);
    step(lasting).put("longRunning", true).put("mayMiss", 1);
    if (submit(entries.get(0), LASTING, lasting).status() != 200) {
      return false;
    }
    Thread.sleep(3_000);
    long beginMs = nowMs();
    for (int i = 0; i < JOBS; i++) {
      sleepUntil(beginMs + i * JOBS_MS / JOBS);
      boolean hopeless = trouble && i == JOBS - 1;
      ObjectNode job = hopeless ? job("fails ms=600", 32, 10_000, 600) : job("ms=300", 4, 4_000, 300);
      submit(entries.get(i % 3), id(100 + i), job);
    }
    sleepUntil(beginMs + FAILURE_MS);
    long failedMs = failLasting();
    if (failedMs < 0) {
      log("the work item that lasts is not at work");
      return false;
    }
    submit(entries.get(1), id(200), job("ms=300", 6, 4_000, 300));
    Thread.sleep(REST_MS);
    show(entries.get(2), LASTING);
    judge(failedMs);
    return true;
  }

  /** Ends the run of the work item as failed; returns the time, or -1 if it is not at work. */
  private long failLasting() {
    synchronized (lock) {
      for (Worker worker : workers) {
        Worker.Run run = worker.runs.get(TASK);
        if (run != null) {
          worker.end(run, "failed");
          return nowMs();
        }
      }
      return -1;
    }
  }

  private void judge(long failedMs) {
    synchronized (lock) {
      long againMs =
          starts.stream()
              .filter(s -> s.task().equals(TASK) && s.atMs() >= failedMs)
              .mapToLong(Start::atMs)
              .findFirst()
              .orElse(nowMs());
      log("the work item was without a run for %d ms".formatted(againMs - failedMs));
      long mostUsed = mostUsed(failedMs + GRACE_MS, failedMs + GRACE_MS + IDLE_MS);
      log("most runs that began in the %d ms that count: %d".formatted(IDLE_MS, mostUsed));
      if (againMs - failedMs > GRACE_MS + IDLE_MS) {
        broken(
            "LOST: %s had nothing running for %d ms while all %d workers were up"
                .formatted(TASK, againMs - failedMs, WORKERS));
      }
    }
  }

  /** Returns the number of starts between two times, which use the room of the pool. */
  private long mostUsed(long fromMs, long toMs) {
    List<Start> within =
        starts.stream().filter(s -> s.atMs() >= fromMs && s.atMs() < toMs).toList();
    return within.size();
  }
}
