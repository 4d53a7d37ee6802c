import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;

/** Some of the scheduled jobs are cancelled, while work items that last run beside them. */
final class Cancel extends Rig {

  private static final int WORKERS = 6;
  private static final long CPU = 64_000;
  private static final int JOBS = 8;
  private static final int CANCELLED = 3;

  /** Times that each job runs: every five minutes for ten weeks. */
  private static final int TIMES = 20_000;

  private static final long INTERVAL_MS = 300_000;
  private static final long FIRST_DUE_MS = 3_600_000;
  private static final long ACK_TIMEOUT_MS = 4_000;
  private static final long BUDGET_MS = 3_000;
  private static final int LASTING = 4;
  private static final int MAY_MISS = 1;
  private final AtomicInteger lapsed = new AtomicInteger();

  Cancel() throws Exception {}

  public static void main(String[] args) throws Exception {
    run(new Cancel());
  }

  @Override
  void ended(Worker worker, Worker.Run r, String how) {
    super.ended(worker, r, how);
    if (how.equals("lapsed")) {
      lapsed.incrementAndGet();
    }
  }

  private JsonNode scheduledJob() {
    return job(step(1, 1_000, 500))
        .put("repeatCount", TIMES)
        .put("intervalMs", INTERVAL_MS)
        .put("startAtMs", System.currentTimeMillis() + FIRST_DUE_MS);
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
    JsonNode lasting =
        job(step(LASTING, 4_000, 500).put("longRunning", true).put("mayMiss", MAY_MISS));
    if (submit(id(1), lasting).status() != 200) {
      return false;
    }
    for (int i = 0; i < JOBS; i++) {
      if (submit(id(10 + i), scheduledJob()).status() != 200) {
        return false;
      }
      Thread.sleep(300);
    }
    Thread.sleep(5_000);
    if (!trouble) {
      Thread.sleep(10_000);
      log("state of a job " + state(id(10)));
      return state(id(10)).equals("pending") && lapsed.get() == 0;
    }
    List<Future<Long>> confirmations = new ArrayList<>();
    for (int i = 0; i < CANCELLED; i++) {
      int number = i;
      confirmations.add(threads.submit(() -> cancel(number)));
    }
    int late = 0;
    for (Future<Long> confirmation : confirmations) {
      late += confirmation.get() > ACK_TIMEOUT_MS ? 1 : 0;
    }
    log(late + " of " + CANCELLED + " cancels had no 2xx or 410 after " + ACK_TIMEOUT_MS + " ms");
    if (lapsed.get() > MAY_MISS) {
      broken(
          "AVAIL: the leases of %d work items of one step that may miss %d have lapsed at once"
              .formatted(lapsed.get(), MAY_MISS));
    }
    return true;
  }

  /** Cancels a job as a client does, and returns the time until that is confirmed. */
  private long cancel(int number) {
    long begunMs = nowMs();
    for (int i = 0; i < 12; i++) {
      String front = frontAddresses.get((number + i) % frontAddresses.size());
      Answer answer = send(front, "DELETE", PREFIX + id(10 + number), null, BUDGET_MS);
      log("DELETE " + id(10 + number) + " -> " + answer.status() + " after " + (nowMs() - begunMs));
      if (answer.status() == 200 || answer.status() == 410) {
        break;
      }
    }
    return nowMs() - begunMs;
  }
}
