package dev.toucanstall.core.plan;

import static com.google.common.truth.Truth.assertWithMessage;

import dev.toucanstall.core.job.JobAnswer;
import dev.toucanstall.core.job.JobSpec;
import dev.toucanstall.core.job.StepSpec;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Tests several entry instances under stops, and over links that lose replies. */
final class NodeWorldTest {

  /** Processing time of events where they have to wait. */
  private static final ServiceTime SERVICE_TIME = new ServiceTime(500, 2_300);

  /**
   * Requests that were sent within this time before the end of the process aren't counted, in
   * milliseconds.
   */
  private static final long LOSS_SLACK_MS = 200;

  /** Latency of appends to a slow store, in milliseconds. */
  private static final long SLOW_STORE_MS = 400;

  /** Entry instances. */
  private static final int INSTANCES = 8;

  /** Backend servers. */
  private static final int SERVERS = 24;

  /**
   * Returns eight entry instances and 24 backend servers.
   *
   * @param seed seed of the random numbers
   * @param time processing time of events
   * @return the simulation
   */
  private static NodeWorld world(long seed, ServiceTime time) {
    NodeWorld world = new NodeWorld(seed);
    world.serviceTime = time;
    world.backend.weight = 10_000;
    IntStream.range(0, SERVERS).forEach(i -> world.backend.server("w" + i, 60_000));
    IntStream.range(0, INSTANCES).forEach(i -> world.start(i == 0 ? 0.75 : 0.36));
    world.run(2_000);
    return world;
  }

  /**
   * Submits a job to an entry instance at regular intervals over one open connection, until a time
   * or the end of the process.
   */
  private static void call(NodeWorld world, NodeInstance to, long everyMs, long untilMs) {
    if (to.gone || world.nowMs() >= untilMs) {
      return;
    }
    String job = "%016x".formatted(world.clients.calls.size() + 1L);
    StepSpec step = PlanWorld.step(2, 1_000);
    world.clients.submit(to, PlanWorld.QUEUE, job, new JobSpec("text", List.of(step), 1, 0, 0));
    world.at(everyMs, () -> call(world, to, everyMs, untilMs));
  }

  /** Returns the requests that a stopping process has read and not answered. */
  private static List<String> cut(NodeWorld world) {
    return world.clients.attempts().stream()
        .filter(a -> a.read && a.to.stopping && a.outcome == NodeClients.Outcome.BROKEN)
        .filter(a -> a.endedMs - a.sentMs > LOSS_SLACK_MS)
        .map(
            a ->
                "%s at %s sent %d ms before".formatted(a.of.job(), a.to.name, a.endedMs - a.sentMs))
        .toList();
  }

  /**
   * Restarts all entry instances one after the other while clients submit jobs.
   *
   * @param world the simulation
   * @param gapMs time between two stops, in milliseconds
   * @param everyMs time between two submissions at each entry instance, in milliseconds
   */
  private static void stopOneAfterTheOther(NodeWorld world, long gapMs, long everyMs) {
    long until = world.nowMs() + INSTANCES * gapMs + NodeWorld.GRACE_MS;
    world.alive().forEach(i -> call(world, i, everyMs, until));
    world.oneAfterTheOther(
        gapMs,
        instance -> {
          instance.stop(NodeWorld.GRACE_MS);
          world.at(
              NodeWorld.GRACE_MS + 500, () -> call(world, world.restart(instance), everyMs, until));
        });
    world.run(until - world.nowMs() + 5_000);
  }

  /** Guards against requests that a process has read and leaves unanswered when it stops. */
  @Test
  void processThatStopsAnswersWhatItHasRead() {
    NodeWorld world = world(1, ServiceTime.NONE);
    world.backend.storeMs = SLOW_STORE_MS;
    stopOneAfterTheOther(world, 2_000, 900);
    assertWithMessage("unanswered requests").that(cut(world)).isEmpty();
    assertWithMessage("violated invariants").that(world.backend.broken).isEmpty();
  }

  /**
   * Guards against a process that never ends by itself while clients use their open connections.
   */
  @Test
  void processThatStopsUnderSteadyRequestsAnswersWhatItHasRead() {
    NodeWorld world = world(1, ServiceTime.NONE);
    world.backend.storeMs = SLOW_STORE_MS;
    stopOneAfterTheOther(world, 2_000, 50);
    assertWithMessage("unanswered requests").that(cut(world)).isEmpty();
    assertWithMessage("violated invariants").that(world.backend.broken).isEmpty();
  }

  /**
   * Guards against requests that are left unanswered when events wait and clients use their open
   * connections.
   */
  @Test
  void processThatStopsUnderLoadAnswersWhatItHasRead() {
    for (long seed = 1; seed <= 3; seed++) {
      NodeWorld world = world(seed, SERVICE_TIME);
      stopOneAfterTheOther(world, 1_000, 20);
      assertWithMessage("unanswered requests, seed %s", seed).that(cut(world)).isEmpty();
      assertWithMessage("violated invariants").that(world.backend.broken).isEmpty();
    }
  }

  /**
   * Guards against requests that end as uncertain because one reply was dropped on an open
   * connection.
   */
  @Test
  @Tag("known-red")
  void replyThatIsDroppedOnLivingLinkIsAskedForAgain() {
    NodeWorld world = world(1, ServiceTime.NONE);
    world.replyLoss = 0.2;
    world.alive().forEach(i -> call(world, i, 100, world.nowMs() + 4_000));
    world.run(10_000);
    List<JobAnswer> answers =
        world.clients.attempts().stream().map(a -> a.answer).distinct().toList();
    assertWithMessage("messages dropped").that(world.dropped).isGreaterThan(0L);
    assertWithMessage("answers").that(answers).containsExactly(new JobAnswer.Accepted());
  }
}
