package dev.toucanstall.core.plan;

import static com.google.common.truth.Truth.assertWithMessage;

import dev.toucanstall.core.job.JobAnswer;
import dev.toucanstall.core.job.TaskKey;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Seeded random faults, then a calm in which each lasting task must soon be at work again. */
final class LastingRandomTest {

  private static final int RUNS = Integer.getInteger("random.runs", 25);
  private static final long FIRST_SEED = Long.getLong("random.seed", 1);
  private static final int SERVERS = 8;
  private static final int FAULTS = 60;
  private static final int TASKS = 6;
  private static final long SERVER_CPU = 10_000;
  private static final long SMALL_CPU = 1_000;
  private static final long LARGE_CPU = 2_000;
  private static final int PER_SERVER = 3;
  private static final long LOOK_MS = 100;
  private static final long CALM_MS = 30_000;

  /** Calm before the time counts, in milliseconds. */
  private static final long CALM_FIRST_MS = 4_000;

  /** Time after the end of a run before the time counts, in milliseconds. */
  private static final long AFTER_RUN_MS = 6_000;

  /** Longest time without a run once the time counts, in milliseconds. */
  private static final long AWAY_MS = 3_000;

  /** A lasting task that waited though there was room was lost to its users. */
  @Test
  void lastingTasksAreSoonAtWorkAgainAfterFaults() {
    for (long seed = FIRST_SEED; seed < FIRST_SEED + RUNS; seed++) {
      new Run(seed).play();
    }
  }

  private static final class Run {

    final long seed;
    final PlanWorld world;
    final Map<TaskKey, Long> awaySinceMs = new HashMap<>();

    Run(long seed) {
      this.seed = seed;
      world = new PlanWorld(seed);
    }

    void play() {
      IntStream.range(0, SERVERS).forEach(i -> world.server("w" + i, SERVER_CPU));
      world.elect();
      world.run(200);
      final long first = world.submit("a" + seed, PlanWorld.lasting(TASKS, SMALL_CPU, PER_SERVER));
      final long second = world.submit("b" + seed, PlanWorld.lasting(TASKS, LARGE_CPU, PER_SERVER));
      world.run(1_000);
      assertWithMessage("seed %s", seed)
          .that(List.of(answer(first), answer(second)))
          .containsExactly(new JobAnswer.Accepted(), new JobAnswer.Accepted());
      for (int i = 0; i < FAULTS; i++) {
        fault();
        world.submit("s" + seed + "-" + i, PlanWorld.step(3, SMALL_CPU));
        watch(50 + world.random.nextInt(250));
      }
      calm();
      final long calmMs = world.now().steadyMs();
      for (long passed = 0; passed < CALM_MS; passed += LOOK_MS) {
        watch(LOOK_MS);
        check(calmMs);
      }
    }

    private JobAnswer answer(long ticket) {
      return world.answers.getOrDefault(ticket, new JobAnswer.Uncertain());
    }

    private List<TaskKey> tasks() {
      return IntStream.range(0, TASKS)
          .boxed()
          .flatMap(
              i ->
                  List.of(new TaskKey("a" + seed, 0, 0, i), new TaskKey("b" + seed, 0, 0, i))
                      .stream())
          .toList();
    }

    private void watch(long millis) {
      world.run(millis);
      long now = world.now().steadyMs();
      for (TaskKey task : tasks()) {
        if (runs(task) || !roomTwice(task)) {
          awaySinceMs.remove(task);
        } else {
          awaySinceMs.putIfAbsent(task, now);
        }
      }
    }

    private boolean runs(TaskKey task) {
      return world.servers.values().stream().anyMatch(s -> s.running.containsKey(task));
    }

    private static long cpuOf(TaskKey task) {
      return task.job().startsWith("a") ? SMALL_CPU : LARGE_CPU;
    }

    /** Tells whether two backend servers have room for a task. */
    private boolean roomTwice(TaskKey task) {
      return world.servers.values().stream()
              .filter(s -> s.up && s.reachable && !s.draining)
              .filter(s -> s.service.equals(PlanWorld.SERVICE))
              .filter(s -> cpuOf(task) <= s.capacity.cpu() - used(s))
              .filter(s -> here(s, task) < PER_SERVER)
              .count()
          >= 2;
    }

    private static long used(FakeServer server) {
      return server.running.keySet().stream()
          .mapToLong(t -> t.job().startsWith("s") ? SMALL_CPU : cpuOf(t))
          .sum();
    }

    private static long here(FakeServer server, TaskKey task) {
      return server.running.keySet().stream().filter(t -> t.job().equals(task.job())).count();
    }

    private void check(long calmMs) {
      long now = world.now().steadyMs();
      awaySinceMs.forEach(
          (task, since) ->
              assertWithMessage(
                      "seed %s, %s away since %s, calm since %s", seed, task, since, calmMs)
                  .that(now)
                  .isAtMost(
                      Math.max(calmMs + CALM_FIRST_MS, since + AFTER_RUN_MS) + AWAY_MS + LOOK_MS));
    }

    private void fault() {
      List<FakeServer> all = List.copyOf(world.servers.values());
      FakeServer server = all.get(world.random.nextInt(all.size()));
      switch (world.random.nextInt(14)) {
        case 0 -> world.lost = 0.2;
        case 1 -> world.late = 0.1;
        case 2 -> calm();
        case 3 -> world.storeUp = false;
        case 4 -> world.storeUp = true;
        case 5 -> {
          PlanWorld.Planner old = world.planner;
          if (old != null && world.random.nextBoolean()) {
            old.alive = false;
          }
          if (world.storeUp) {
            world.elect();
          }
        }
        case 6 -> server.reachable = !server.reachable;
        case 7 -> restart(server);
        case 8 -> goDark(server);
        case 9 -> server.draining = true;
        default -> {}
      }
      if (world.planner == null || (!world.planner.alive && world.storeUp)) {
        world.elect();
      }
    }

    private void restart(FakeServer server) {
      server.crash();
      world.server(server.id, SERVER_CPU);
    }

    /** Loses power; calls to it stay without an answer until it starts again. */
    private void goDark(FakeServer server) {
      server.crash();
      server.reachable = false;
    }

    private void calm() {
      world.lost = 0;
      world.late = 0;
      world.storeUp = true;
      for (FakeServer server : List.copyOf(world.servers.values())) {
        server.draining = false;
        if (server.up) {
          server.reachable = true;
        } else {
          world.server(server.id, SERVER_CPU);
        }
      }
      if (world.planner == null || !world.planner.alive) {
        world.elect();
      }
    }
  }
}
