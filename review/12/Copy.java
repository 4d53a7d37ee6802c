import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * The start of a short work item is sent twice, as the first copy has no answer, and the planner is
 * killed. Its worker crashes behind a cut, starts again there, and carries the first copy out.
 */
final class Copy extends Rig {

  private static final int WORKERS = 6;
  private static final long CPU = 64_000;

  /** Time for which the workers have been up before. */
  private static final long UPTIME_MS = 22_000;

  /** Times after the order without an answer, in milliseconds. */
  private static final long KILL_MS = 1_500;

  private static final long CUT_MS = 5_700;
  private static final long RESTART_MS = CUT_MS + 500;
  private static final long LATE_MS = CUT_MS + 1_000;

  /** Length of the cut, in milliseconds. */
  private static final long CUT_LENGTH_MS = 5_500;

  private static final long PLANNER_DOWN_MS = 3_500;

  private Worker chosen;
  private JsonNode heldBack;
  private long orderedMs;

  private Copy() throws Exception {}

  public static void main(String[] args) throws Exception {
    run(new Copy());
  }

  @Override
  boolean holdsBack(Worker worker, JsonNode order) {
    if (!trouble || chosen != null) {
      return false;
    }
    chosen = worker;
    heldBack = order;
    orderedMs = nowMs();
    log("an order to start on %s gets no answer: %s".formatted(worker.id, order));
    return true;
  }

  @Override
  void onStart(Start start) {
    workers.stream()
        .filter(w -> w != start.worker() && w.runs.containsKey(start.task()))
        .forEach(
            w ->
                broken(
                    "TWICE: %s run %d starts on %s while run %d is at work on %s"
                        .formatted(
                            start.task(),
                            start.run(),
                            start.worker().id,
                            w.runs.get(start.task()).run,
                            w.id)));
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
    if (!awaitReady(20_000)) {
      return false;
    }
    sleepUntil(UPTIME_MS);
    ObjectNode job = job("ms=25000", 1, 4_000, 25_000);
    if (submit(entries.get(0), id(1), job).status() != 200) {
      return false;
    }
    if (trouble) {
      Thread.sleep(200);
      if (chosen == null) {
        return false;
      }
      trouble();
    }
    sleepUntil(UPTIME_MS + 15_000);
    return startsOf(id(1)) >= 1;
  }

  private void trouble() throws Exception {
    sleepUntil(orderedMs + KILL_MS);
    Entry killed = planner();
    kill(killed);
    Thread restarts =
        Thread.ofVirtual()
            .start(
                () -> {
                  try {
                    Thread.sleep(PLANNER_DOWN_MS);
                    startProcess(killed);
                  } catch (Exception e) {
                    log("restart: " + e);
                  }
                });
    sleepUntil(orderedMs + CUT_MS);
    chosen.goDark();
    sleepUntil(orderedMs + RESTART_MS);
    chosen.restartBehindCut();
    sleepUntil(orderedMs + LATE_MS);
    chosen.startLate(heldBack);
    sleepUntil(orderedMs + CUT_MS + CUT_LENGTH_MS);
    chosen.rejoin();
    restarts.join();
  }
}
