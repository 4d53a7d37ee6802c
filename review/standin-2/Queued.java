import java.util.ArrayList;
import java.util.List;

/** Asks for the number of queued jobs while jobs wait that no worker has begun. */
final class Queued extends Rig {

  private static final int WORKERS = 6;
  private static final int PER_RACK = 4;
  private static final long CPU = 64_000;
  private static final int JOBS = 6;

  /** Time for which the workers of a rack are silent after their crash. */
  private static final long DARK_MS = 7_000;

  /** {@code visible_ms} and 2 s more, after which an accepted job must count. */
  private static final long COUNTED_AFTER_MS = 3_000 + 2_000;

  Queued() throws Exception {}

  public static void main(String[] args) throws Exception {
    run(new Queued());
  }

  @Override
  boolean play() throws Exception {
    configure(false);
    for (int i = 0; i < WORKERS; i++) {
      addWorker("i-" + (i + 1), "pool-a", "r1-" + i / PER_RACK, CPU);
    }
    for (int i = 0; i < 3; i++) {
      startEntry("frontend-zone-a-" + (i + 1));
    }
    if (!awaitReady()) {
      return false;
    }
    Thread.sleep(3_000);
    // The two workers of the other rack are busy for long.
    for (int i = PER_RACK; i < WORKERS; i++) {
      if (submit(id(i), job(step(1, 60_000, 30_000).put("affinity", "r1-1"))).status() != 200) {
        return false;
      }
      Thread.sleep(500);
    }
    if (workers.subList(PER_RACK, WORKERS).stream().anyMatch(w -> w.runs.isEmpty())) {
      log("the long work items did not begin where they should");
      return false;
    }
    List<Worker> rack = workers.subList(0, PER_RACK);
    if (trouble) {
      rack.forEach(Worker::crash);
    }
    long crashedMs = nowMs();
    List<Long> acceptedMs = new ArrayList<>();
    for (int i = 0; i < JOBS; i++) {
      Answer answer = submit(id(10 + i), job(step(1, 10_000, 2_000)));
      if (answer.status() != 200) {
        return false;
      }
      acceptedMs.add(answer.atMs());
    }
    while (nowMs() < crashedMs + DARK_MS) {
      for (int e = 0; e < entries.size(); e++) {
        ask(e, acceptedMs);
      }
      Thread.sleep(200);
    }
    if (trouble) {
      rack.forEach(Worker::restart);
    }
    Thread.sleep(3_000);
    return true;
  }

  private void ask(int entry, List<Long> acceptedMs) {
    long askedMs = nowMs();
    int given = count(entry);
    int due = 0;
    synchronized (lock) {
      for (int i = 0; i < JOBS; i++) {
        String job = id(10 + i) + ".";
        boolean begun = starts.stream().anyMatch(s -> s.task().startsWith(job));
        if (!begun && acceptedMs.get(i) + COUNTED_AFTER_MS < askedMs) {
          due++;
        }
      }
    }
    log("queuedJobs at entry " + (entry + 1) + ": " + given + "; not begun after 5 s: " + due);
    if (given >= 0 && 2 * given < due) {
      broken("MIXED: queuedJobs is " + given + " while " + due + " jobs have not begun");
    }
  }
}
