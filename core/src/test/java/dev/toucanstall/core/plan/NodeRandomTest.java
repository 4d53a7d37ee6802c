package dev.toucanstall.core.plan;

import static com.google.common.truth.Truth.assertWithMessage;

import dev.toucanstall.core.job.JobAnswer;
import dev.toucanstall.core.job.JobPhase;
import dev.toucanstall.core.job.JobSpec;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Injects random faults by seed into several entry instances: kills, stops, pauses, network
 * partitions and lost messages.
 */
final class NodeRandomTest {

  /**
   * Number of seeds; a third of the usual number because several entry instances cost more time
   * than one planner.
   */
  private static final int RUNS = Math.max(1, Integer.getInteger("random.runs", 25) / 3);

  /** First seed; the others follow it. */
  private static final long FIRST_SEED = Long.getLong("random.seed", 1);

  /** Processing time of events at every second seed. */
  private static final ServiceTime SERVICE_TIME = new ServiceTime(100, 500);

  /** Entry instances. */
  private static final int INSTANCES = 5;

  /** Backend servers. */
  private static final int SERVERS = 8;

  /** Steps in which a fault may be injected. */
  private static final int STEPS = 80;

  /** Time without new faults before the checks, in milliseconds. */
  private static final long CALM_MS = 30_000;

  /**
   * Time after the end of the client's wait at which an answer still counts as in time, in
   * milliseconds.
   */
  private static final long LATE_MS = 100;

  /** Guards against accepted jobs that are lost, and requests without a final answer. */
  @Test
  void troubleLosesNoJobAndLeavesNoCallWithoutAnswer() {
    for (long seed = FIRST_SEED; seed < FIRST_SEED + RUNS; seed++) {
      NodeWorld world = world(seed);
      for (int i = 0; i < STEPS; i++) {
        trouble(world);
        submit(world);
        world.run(50 + world.random.nextInt(300));
      }
      calm(world);
      world.run(CALM_MS);
      assertJobsKnown(world, seed);
      assertCallsAnswered(world, seed);
      assertRefusedJobsNeverRun(world, seed);
      assertWithMessage("violated invariants, seed %s", seed).that(world.backend.broken).isEmpty();
    }
  }

  /** Returns five entry instances of two sizes and eight backend servers. */
  private static NodeWorld world(long seed) {
    NodeWorld world = new NodeWorld(seed);
    world.serviceTime = seed % 2 == 0 ? SERVICE_TIME : ServiceTime.NONE;
    world.backend.weight = 1_000;
    world.backend.standby.addAll(List.of("m-off1", "m-off2"));
    IntStream.range(0, SERVERS).forEach(i -> world.backend.server("w" + i, 10_000));
    IntStream.range(0, INSTANCES).forEach(i -> world.start(i < 2 ? 1.5 : 0.36));
    world.run(2_000);
    return world;
  }

  /** Submits two jobs to a random entry instance each. */
  private static void submit(NodeWorld world) {
    for (int i = 0; i < 2; i++) {
      String job = "%016x".formatted(world.clients.calls.size() + 1L);
      JobSpec spec =
          new JobSpec(
              "text", List.of(PlanWorld.step(2, 1_000), PlanWorld.step(1, 1_500, 0)), 1, 0, 0);
      NodeInstance to = world.instances.get(world.random.nextInt(world.instances.size()));
      world.clients.submit(to, PlanWorld.QUEUE, job, spec);
    }
  }

  /** Injects a random fault, or ends message loss, or does nothing. */
  private static void trouble(NodeWorld world) {
    NodeInstance instance = world.instances.get(world.random.nextInt(world.instances.size()));
    switch (world.random.nextInt(24)) {
      case 0 -> {
        instance.end();
        again(world, instance, 500);
      }
      case 1 -> instance.freeze(500 + world.random.nextInt(5_000));
      case 2 -> {
        instance.cut = true;
        world.at(500 + world.random.nextInt(5_000), () -> instance.cut = false);
      }
      case 3 -> {
        instance.stop(NodeWorld.GRACE_MS);
        again(world, instance, NodeWorld.GRACE_MS + 500);
      }
      case 4 -> world.assign(instance);
      case 5 -> world.replyLoss = 0.2;
      case 6 -> {
        world.backend.storeUp = false;
        world.at(500 + world.random.nextInt(2_000), () -> world.backend.storeUp = true);
      }
      case 7 -> {
        FakeServer server = server(world);
        server.reachable = false;
        world.at(1_000 + world.random.nextInt(8_000), () -> server.reachable = true);
      }
      case 8 -> {
        FakeServer server = server(world);
        if (server.up) {
          server.crash();
          world.at(500, () -> world.backend.startAgain(server));
        }
      }
      case 9 -> world.backend.lost = 0.1;
      case 10, 11 -> {
        world.replyLoss = 0;
        world.backend.lost = 0;
      }
      default -> {}
    }
  }

  /** Returns a random backend server. */
  private static FakeServer server(NodeWorld world) {
    List<FakeServer> all = List.copyOf(world.backend.servers.values());
    return all.get(world.random.nextInt(all.size()));
  }

  /** Restarts a process after a delay, if it has terminated by then. */
  private static void again(NodeWorld world, NodeInstance instance, long inMs) {
    world.at(
        inMs,
        () -> {
          if (instance.gone && world.instances.contains(instance)) {
            world.restart(instance);
          }
        });
  }

  /** Ends message loss. */
  private static void calm(NodeWorld world) {
    world.replyLoss = 0;
    world.backend.lost = 0;
  }

  /** Checks that each accepted job is shown as completed. */
  private static void assertJobsKnown(NodeWorld world, long seed) {
    List<NodeClients.Call> asked = new ArrayList<>();
    world.clients.submissions.values().stream()
        .filter(NodeClients.Call::accepted)
        .toList()
        .forEach(
            call -> {
              asked.add(world.clients.show(world.anyReady(null), PlanWorld.QUEUE, call.job()));
              world.run(5);
            });
    world.run(NodeClients.DEADLINE_MS);
    assertWithMessage("accepted jobs, seed %s", seed).that(asked).isNotEmpty();
    List<String> lost =
        asked.stream()
            .filter(call -> !new JobAnswer.Shown(JobPhase.COMPLETED).equals(call.answer))
            .map(call -> call.job() + " " + call.answer)
            .toList();
    assertWithMessage("jobs that are not shown as completed, seed %s", seed).that(lost).isEmpty();
  }

  /**
   * Checks that each request which was read was answered within the client's wait, unless the
   * process was paused or terminated.
   */
  private static void assertCallsAnswered(NodeWorld world, long seed) {
    List<String> late =
        world.clients.attempts().stream()
            .filter(a -> a.read && a.outcome != NodeClients.Outcome.BROKEN)
            .filter(a -> !a.to.wasFrozen(a.sentMs, a.sentMs + a.waitMs))
            .filter(
                a ->
                    a.outcome == NodeClients.Outcome.OPEN
                        || a.endedMs > a.sentMs + a.waitMs + LATE_MS)
            .map(
                a ->
                    "%s at %s %s, client waits %d ms, took %d ms"
                        .formatted(a.of.job(), a.to.name, a.answer, a.waitMs, a.endedMs - a.sentMs))
            .toList();
    assertWithMessage("requests without an answer in time, seed %s", seed).that(late).isEmpty();
  }

  /** Checks that no job ran that was refused by every attempt. */
  private static void assertRefusedJobsNeverRun(NodeWorld world, long seed) {
    Set<String> run =
        world.backend.lastStart.keySet().stream().map(t -> t.job()).collect(Collectors.toSet());
    List<String> refused =
        world.clients.submissions.values().stream()
            .filter(c -> c.attempts.stream().allMatch(a -> a.answer instanceof JobAnswer.Refused))
            .map(NodeClients.Call::job)
            .filter(run::contains)
            .toList();
    assertWithMessage("refused jobs that have run, seed %s", seed).that(refused).isEmpty();
  }
}
