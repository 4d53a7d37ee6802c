import com.fasterxml.jackson.databind.JsonNode;

/** A worker that is cut off, starts again there and carries out an order to start late. */
final class Reborn extends Rig {

  private static final int WORKERS = 6;
  private static final long CPU = 64_000;

  /** Time for which the workers have been up before. */
  private static final long UPTIME_MS = 15_000;

  /** Times after the order: the cut, the new lifetime, the late start, the end of the cut. */
  private static final long CUT_AFTER_MS = 300;

  private static final long RESTART_AFTER_MS = 1_000;
  private static final long LATE_MS = 2_500;
  private static final long CUT_MS = 5_500;

  private Worker chosen;
  private JsonNode heldBack;
  private long orderedMs;

  Reborn() throws Exception {}

  public static void main(String[] args) throws Exception {
    run(new Reborn());
  }

  @Override
  boolean holdsBack(Worker worker, JsonNode order) {
    if (trouble && chosen == null) {
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
    Thread.sleep(100);
    if (!trouble) {
      Thread.sleep(10_000);
      return starts.size() == 1;
    }
    if (chosen == null) {
      return false;
    }
    sleepUntil(orderedMs + CUT_AFTER_MS);
    chosen.setCut(true);
    chosen.crash();
    sleepUntil(orderedMs + RESTART_AFTER_MS);
    chosen.restartBehindCut();
    sleepUntil(orderedMs + LATE_MS);
    chosen.startLate(heldBack);
    sleepUntil(orderedMs + CUT_AFTER_MS + CUT_MS);
    chosen.setCut(false);
    Thread.sleep(6_000);
    return true;
  }
}
