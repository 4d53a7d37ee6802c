import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Gangs run beside a few jobs that can never be done. A worker that has failed runs is suspended
 * between the order to a member and its start: the other members start, and end alone.
 */
final class GangAlone extends Rig {

  private static final int WORKERS = 6;
  private static final long CPU = 64_000;
  private static final int MEMBERS = 4;

  /** Rounds, their interval, and for how long jobs are sent in each. */
  private static final int ROUNDS = 5;

  private static final long ROUND_MS = 18_500;
  private static final long TRAFFIC_MS = 3_000;

  /** Time between two jobs; each twentieth is hopeless. */
  private static final long INTERVAL_MS = 50;

  private static final int HOPELESS_EACH = 20;

  private GangAlone() throws Exception {}

  public static void main(String[] args) throws Exception {
    run(new GangAlone());
  }

  @Override
  void onEnd(Ended end) {
    if (end.how().equals("alone")) {
      broken("GANG: %s run %d on %s ends alone".formatted(end.task(), end.run(), end.worker().id));
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
    if (!awaitReady(20_000)) {
      return false;
    }
    long beginMs = nowMs();
    int number = 100;
    for (int round = 0; round < ROUNDS; round++) {
      sleepUntil(beginMs + round * ROUND_MS);
      for (int i = 0; i < TRAFFIC_MS / INTERVAL_MS; i++) {
        send(number, trouble && i % HOPELESS_EACH == HOPELESS_EACH / 2);
        number++;
        sleepUntil(beginMs + round * ROUND_MS + (i + 1) * INTERVAL_MS);
      }
    }
    Thread.sleep(8_000);
    return startsOf(id(100)) >= MEMBERS;
  }

  private void send(int number, boolean hopeless) {
    ObjectNode job = job("gang=" + MEMBERS + " ms=200", MEMBERS, 2_000, 200);
    step(job).put("gang", true).put("maxPerServer", 1);
    Thread.ofVirtual()
        .start(
            () ->
                submit(
                    entries.get(number % 3),
                    id(number),
                    hopeless ? job("fails ms=200", 12, 2_000, 200) : job));
  }
}
