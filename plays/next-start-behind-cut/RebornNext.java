import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;

/**
 * The next run of a work item that lasts, ordered to a worker that is cut off, starts again there
 * and carries the order out late.
 */
final class RebornNext extends Rig {

  private static final int WORKERS = 6;
  private static final long CPU = 64_000;

  /** Time for which the workers have been up before. */
  private static final long UPTIME_MS = 15_000;

  /** Time for which run 1 is at work. */
  private static final long WORK_MS = 3_000;

  /** Longest time from the end of run 1 to the order of run 2. */
  private static final long MAX_WAIT_MS = 15_000;

  /** Times after the order: the cut, the new lifetime, the late start. */
  private static final long CUT_AFTER_MS = 300;

  private static final long RESTART_AFTER_MS = 1_000;
  private static final long LATE_MS = 2_500;

  /** Length of the cut. */
  private static final long CUT_MS = 9_000;

  /** Time for which the play goes on after the cut. */
  private static final long REST_MS = 6_000;

  private static final String TASK = id(1) + ".0.0.0";

  /** How run 1 ends: the run fails, or its worker crashes for good. */
  private final boolean firstWorkerCrashes = Boolean.getBoolean("first.crashes");

  /** Whether the second worker is lost for good, and carries nothing out. */
  private final boolean secondLost = Boolean.getBoolean("second.lost");

  private Worker first;
  private Worker chosen;
  private JsonNode heldBack;
  private long orderedMs;
  private long firstEndedMs;

  RebornNext() throws Exception {}

  public static void main(String[] args) throws Exception {
    run(new RebornNext());
  }

  @Override
  boolean holdsBack(Worker worker, JsonNode order) {
    if (trouble && chosen == null && order.path("run").asLong() == 2) {
      chosen = worker;
      heldBack = order;
      orderedMs = nowMs();
      log("order to start on " + worker.id + " is left unanswered: " + order);
      return true;
    }
    return false;
  }

  @Override
  boolean play() throws Exception {
    configure(false);
    for (int i = 0; i < WORKERS; i++) {
      addWorker("i-" + (i + 1), "pool-a", "r1-" + i / 4, CPU);
    }
    for (int i = 0; i < 3; i++) {
      startEntry("frontend-zone-a-" + (i + 1));
    }
    if (!awaitReady()) {
      return false;
    }
    sleepUntil(UPTIME_MS);
    if (submit(id(1), job(step(1, 4_000, 500).put("longRunning", true))).status() != 200) {
      return false;
    }
    Thread.sleep(WORK_MS);
    if (!endRunOne()) {
      return false;
    }
    long untilMs = nowMs() + MAX_WAIT_MS;
    while (trouble && chosen == null && nowMs() < untilMs) {
      Thread.sleep(2);
    }
    if (!trouble) {
      Thread.sleep(MAX_WAIT_MS);
      return starts.size() == 2;
    }
    if (chosen == null) {
      return false;
    }
    if (secondLost) {
      loseSecond();
    } else {
      restartSecond();
    }
    judgeNextRun();
    return true;
  }

  /** Logs when the next run came; it must have come by the end of the play. */
  private void judgeNextRun() {
    starts.stream()
        .filter(s -> s.run() > 2)
        .findFirst()
        .ifPresentOrElse(
            s -> log("run %d came %d ms after the order of run 2, %d ms after the end of run 1"
                .formatted(s.run(), s.atMs() - orderedMs, s.atMs() - firstEndedMs)),
            () -> {
              if (secondLost) {
                broken("LOST: " + TASK + " has not run since its second worker was lost");
              }
            });
  }

  /** Ends run 1; returns false if it isn't at work. */
  private boolean endRunOne() {
    synchronized (lock) {
      first = workers.stream().filter(w -> w.runs.containsKey(TASK)).findFirst().orElse(null);
      if (first == null) {
        log("run 1 is not at work");
        return false;
      }
      firstEndedMs = nowMs();
      if (firstWorkerCrashes) {
        first.crash();
      } else {
        List.copyOf(first.runs.values()).forEach(r -> first.end(r, "failed"));
      }
      return true;
    }
  }

  private void cutSecondOff() throws Exception {
    sleepUntil(orderedMs + CUT_AFTER_MS);
    chosen.setCut(true);
    chosen.crash();
  }

  private void loseSecond() throws Exception {
    cutSecondOff();
    sleepUntil(orderedMs + CUT_AFTER_MS + CUT_MS + REST_MS);
  }

  private void restartSecond() throws Exception {
    cutSecondOff();
    sleepUntil(orderedMs + RESTART_AFTER_MS);
    chosen.restartBehindCut();
    sleepUntil(orderedMs + LATE_MS);
    chosen.startLate(heldBack);
    sleepUntil(orderedMs + CUT_AFTER_MS + CUT_MS);
    chosen.setCut(false);
    Thread.sleep(REST_MS);
  }
}
