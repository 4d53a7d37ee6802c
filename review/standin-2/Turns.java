import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A planner that stands still for a moment, with an order for a machine that had no answer. */
final class Turns extends Rig {

  private static final int WORKERS = 2;
  private static final long CPU = 64_000;

  /** Time after its order at which the planner's machine freezes. */
  private static final long FREEZE_AFTER_MS = 1_550;

  /** Longest freeze of a machine. */
  private static final long MAX_FREEZE_MS = 3_500;

  Turns() throws Exception {}

  public static void main(String[] args) throws Exception {
    run(new Turns());
  }

  @Override
  void changeSettings(ObjectNode settings) {
    ((ObjectNode) settings.path("bounds")).put("enforceFencing", false);
  }

  @Override
  boolean play() throws Exception {
    configure(true);
    for (int i = 0; i < WORKERS; i++) {
      addWorker("i-" + (i + 1), "pool-a", "r1-" + i / 4, CPU);
    }
    cloud.addOff("m-91");
    cloud.addOff("m-92");
    for (int i = 0; i < 3; i++) {
      startEntry("frontend-zone-a-" + (i + 1));
    }
    if (!awaitReady()) {
      return false;
    }
    Thread.sleep(4_000);
    cloud.dark = trouble;
    for (int i = 0; i < 6; i++) {
      if (submit(id(10 + i), job(step(6, 16_000, 2_000))).status() != 200) {
        return false;
      }
    }
    long untilMs = nowMs() + 5_000;
    while (cloud.orders().isEmpty() && nowMs() < untilMs) {
      Thread.sleep(5);
    }
    if (cloud.orders().isEmpty()) {
      log("no machine was ordered");
      return false;
    }
    Cloud.Order first = cloud.orders().getFirst();
    if (trouble) {
      freeze(first);
      Thread.sleep(1_000);
      cloud.dark = false;
    }
    Thread.sleep(8_000);
    judge();
    return true;
  }

  /** Freezes the holder until another one orders the same machine. */
  private void freeze(Cloud.Order first) throws Exception {
    int number = Integer.parseInt(first.holder().substring(first.holder().lastIndexOf('-') + 1));
    Process holder = entries.get(number - 1);
    sleepUntil(first.atMs() + FREEZE_AFTER_MS);
    // Jobs go on coming; the planner stores each one.
    submit(id(50), job(step(1, 1_000, 500)));
    signal("STOP", holder);
    long frozenMs = nowMs();
    while (nowMs() < frozenMs + MAX_FREEZE_MS
        && cloud.orders().stream()
            .noneMatch(
                o -> o.machine().equals(first.machine()) && o.fence() > first.fence())) {
      Thread.sleep(2);
    }
    signal("CONT", holder);
    log("the machine of " + first.holder() + " was frozen for " + (nowMs() - frozenMs) + " ms");
  }

  private void signal(String name, Process process) throws Exception {
    Process kill =
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).inheritIO().start();
    kill.waitFor(5, TimeUnit.SECONDS);
    log("SIG" + name + " to process " + process.pid());
  }

  private void judge() {
    List<Cloud.Order> orders = cloud.orders();
    for (int i = 0; i < orders.size(); i++) {
      for (int j = i + 1; j < orders.size(); j++) {
        Cloud.Order a = orders.get(i);
        Cloud.Order b = orders.get(j);
        if (a.machine().equals(b.machine()) && b.fence() < a.fence()) {
          broken(
              "ONE: order for machine %s by %s with fence number %d, %d ms after one by %s with %d"
                  .formatted(
                      b.machine(),
                      b.holder(),
                      b.fence(),
                      b.atMs() - a.atMs(),
                      a.holder(),
                      a.fence()));
          return;
        }
      }
    }
  }
}
