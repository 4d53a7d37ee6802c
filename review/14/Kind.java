import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Comparator;

/**
 * A worker crashes with starts on their way and begins another lifetime of another kind. The starts
 * are sent again, though it has not the label that the work items require.
 */
final class Kind extends Rig {

  private static final int WORKERS = 4;
  private static final long CPU = 64_000;

  /** Time between two jobs, and for how long they are sent. */
  private static final long INTERVAL_MS = 100;

  private static final long TRAFFIC_MS = 10_000;

  /** Time of the crash after the first job, and for how long the worker is down. */
  private static final long CRASH_MS = 3_000;

  private static final long DOWN_MS = 1_500;

  private static final String KIND = "a";
  private static final String OTHER_KIND = "b";

  private Kind() throws Exception {}

  public static void main(String[] args) throws Exception {
    run(new Kind());
  }

  @Override
  void onStart(Start start) {
    if (!start.kind().equals(KIND)) {
      broken(
          "ROUTE: %s run %d, which requires %s, starts on %s of kind %s"
              .formatted(start.task(), start.run(), KIND, start.worker().id, start.kind()));
    }
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
    long beginMs = nowMs();
    Thread traffic = Thread.ofVirtual().start(() -> send(beginMs));
    if (trouble) {
      sleepUntil(beginMs + CRASH_MS);
      Worker crashed = busiest();
      crashed.goDark();
      sleepUntil(beginMs + CRASH_MS + DOWN_MS);
      crashed.restart(OTHER_KIND);
    }
    traffic.join();
    Thread.sleep(5_000);
    return startsOf(id(100)) > 0;
  }

  private void send(long beginMs) {
    for (int i = 0; i < TRAFFIC_MS / INTERVAL_MS; i++) {
      int number = i;
      Thread.ofVirtual()
          .start(
              () -> {
                ObjectNode job = job("ms=300", 2, 4_000, 300);
                step(job).put("requires", KIND);
                submit(entries.get(number % 3), id(100 + number), job);
              });
      try {
        sleepUntil(beginMs + (i + 1) * INTERVAL_MS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  /** Returns the worker with the most runs. */
  private Worker busiest() {
    synchronized (lock) {
      return workers.stream()
          .max(Comparator.comparingInt(w -> w.runs.size()))
          .orElseThrow();
    }
  }
}
