import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/** A client hands in scheduled jobs in a row; whether the accepted ones are known afterwards. */
final class Scheduled extends Rig {

  private static final int WORKERS = 6;
  private static final long CPU = 64_000;
  private static final long SPAN_MS = 4_000;

  /** Jobs in the span at the usual rate. */
  private static final int USUAL_JOBS = 6;

  /** Jobs in the span at 2.5 times the usual rate. */
  private static final int BURST_JOBS = 15;

  /** Times that each job runs: every five minutes for ten weeks. */
  private static final int TIMES = 20_000;

  private static final long INTERVAL_MS = 300_000;
  private static final long FIRST_DUE_MS = 3_600_000;
  private static final long FINISH_MS = 14_000;
  private static final int TRIES = 5;

  /** Tries of a client that gives up early. */
  private static final int SUBMISSION_TRIES = 3;

  private static final long BUDGET_MS = 3_000;

  Scheduled() throws Exception {}

  public static void main(String[] args) throws Exception {
    run(new Scheduled());
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
    int jobs = trouble ? BURST_JOBS : USUAL_JOBS;
    long t0 = nowMs();
    List<Integer> accepted = new ArrayList<>();
    for (int i = 0; i < jobs; i++) {
      sleepUntil(t0 + i * SPAN_MS / jobs);
      if (submit(id(10 + i), scheduledJob(), SUBMISSION_TRIES).status() == 200) {
        accepted.add(10 + i);
      }
    }
    log("accepted " + accepted.size() + " of " + jobs + " jobs");
    if (accepted.isEmpty()) {
      return false;
    }
    sleepUntil(nowMs() + FINISH_MS);
    ask(accepted);
    return true;
  }

  /** Asks for each accepted job as a client does, until two are not known. */
  private void ask(List<Integer> accepted) {
    int unknown = 0;
    for (int number : accepted) {
      Answer answer = null;
      for (int i = 0; i < TRIES && (answer == null || answer.status() != 200); i++) {
        answer =
            get(frontAddresses.get(i % frontAddresses.size()), PREFIX + id(number), BUDGET_MS);
        log("GET " + id(number) + " at entry " + (i % 3 + 1) + " -> " + answer.status());
      }
      if (answer.status() != 200) {
        broken("LOST: accepted job " + id(number) + " isn't known, or gets no answer in time");
        if (++unknown == 2) {
          break;
        }
      }
    }
    for (int i = 0; i < entries.size(); i++) {
      log(
          "entry "
              + (i + 1)
              + ": process alive "
              + entries.get(i).isAlive()
              + ", GET /-/ready -> "
              + get(readyAddresses.get(i), "/-/ready", 1_000).status());
    }
  }
}
