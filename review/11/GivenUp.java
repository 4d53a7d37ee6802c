import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/**
 * Three copies of the start of a work item that lasts have no answer; its next run starts on the
 * same worker. The worker crashes behind a cut, starts again there, and carries the copies out.
 */
final class GivenUp extends Rig {

  private static final int WORKERS = 6;
  private static final long CPU = 64_000;

  /** Time for which the workers have been up before. */
  private static final long UPTIME_MS = 16_000;

  /** Time between two short jobs, and for how long they are sent. */
  private static final long INTERVAL_MS = 40;

  private static final long TRAFFIC_MS = 14_000;

  /** Copies of the start that have no answer. */
  private static final int COPIES = 3;

  /** Times after the first copy, in milliseconds. */
  private static final long CUT_MS = 3_000;

  private static final long RESTART_MS = CUT_MS + 500;
  private static final long LATE_MS = CUT_MS + 1_000;

  /** Length of the cut, in milliseconds. */
  private static final long CUT_LENGTH_MS = 5_500;

  private static final String KIND = "a";
  private static final String OTHER_KIND = "b";

  private Worker chosen;
  private final List<JsonNode> heldBack = new ArrayList<>();
  private long orderedMs;

  private GivenUp() throws Exception {}

  public static void main(String[] args) throws Exception {
    run(new GivenUp());
  }

  @Override
  boolean holdsBack(Worker worker, JsonNode order) {
    boolean meant = order.path("task").asText().startsWith(id(1));
    if (!trouble || !meant || heldBack.size() == COPIES || (chosen != null && chosen != worker)) {
      return false;
    }
    if (chosen == null) {
      chosen = worker;
      orderedMs = nowMs();
    }
    heldBack.add(order);
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
      Worker worker = addWorker("i-" + (i + 1), "r1-" + i / 4, CPU);
      if (i >= 2) {
        synchronized (lock) {
          worker.kind = OTHER_KIND;
          worker.report();
        }
      }
    }
    for (int i = 0; i < 3; i++) {
      startEntry("frontend-" + (i + 1));
    }
    if (!awaitReady(15_000)) {
      return false;
    }
    sleepUntil(UPTIME_MS - 1_000);
    Thread traffic = Thread.ofVirtual().start(this::sendShortJobs);
    sleepUntil(UPTIME_MS);
    ObjectNode lasting = job("lasts", 1, 4_000, 60_000);
    step(lasting).put("longRunning", true).put("requires", KIND);
    if (submit(entries.get(0), id(1), lasting).status() != 200) {
      return false;
    }
    if (trouble) {
      Thread.sleep(200);
      if (chosen == null) {
        return false;
      }
      sleepUntil(orderedMs + CUT_MS);
      chosen.goDark();
      sleepUntil(orderedMs + RESTART_MS);
      chosen.restartBehindCut();
      sleepUntil(orderedMs + LATE_MS);
      heldBack.forEach(chosen::startLate);
      sleepUntil(orderedMs + CUT_MS + CUT_LENGTH_MS);
      chosen.rejoin();
    }
    traffic.join();
    Thread.sleep(3_000);
    return startsOf(id(1)) >= 1 && (!trouble || heldBack.size() == COPIES);
  }

  /** Sends short jobs to the workers of the other kind. */
  private void sendShortJobs() {
    long beginMs = nowMs();
    for (int i = 0; i < TRAFFIC_MS / INTERVAL_MS; i++) {
      int number = i;
      Thread.ofVirtual()
          .start(
              () -> {
                ObjectNode job = job("ms=100", 1, 1_000, 100);
                step(job).put("requires", OTHER_KIND);
                submit(entries.get(number % 3), id(1_000 + number), job);
              });
      try {
        sleepUntil(beginMs + (i + 1) * INTERVAL_MS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }
}
