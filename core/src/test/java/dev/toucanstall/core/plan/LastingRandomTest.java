package dev.toucanstall.core.plan;

import static com.google.common.truth.Truth.assertWithMessage;

import dev.toucanstall.core.job.JobAnswer;
import dev.toucanstall.core.job.TaskKey;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Injects random faults by seed; after the last one each lasting task must soon have a run again.
 */
final class LastingRandomTest {

  /** Number of seeds. */
  private static final int RUNS = Integer.getInteger("random.runs", 25);

  /** First seed; the others follow it. */
  private static final long FIRST_SEED = Long.getLong("random.seed", 1);

  /** Backend servers. */
  private static final int SERVERS = 8;

  /** Steps in which a fault may be injected. */
  private static final int FAULTS = 60;

  /** Tasks of each of the two lasting jobs. */
  private static final int TASKS = 6;

  /** Capacity of a backend server, in thousandths of a core. */
  private static final long SERVER_CPU = 10_000;

  /** Need of a task of the first lasting job and of the short jobs, in thousandths of a core. */
  private static final long SMALL_CPU = 1_000;

  /** Need of a task of the second lasting job, in thousandths of a core. */
  private static final long LARGE_CPU = 2_000;

  /** Most tasks of a lasting job on one backend server. */
  private static final int PER_SERVER = 3;

  /** Time between two checks, in milliseconds. */
  private static final long LOOK_MS = 100;

  /** Time without faults in which the tasks are checked, in milliseconds. */
  private static final long CALM_MS = 30_000;

  /** Time after the last fault that is not counted as unavailable, in milliseconds. */
  private static final long CALM_FIRST_MS = 4_000;

  /** Time after the end of a run that is not counted as unavailable, in milliseconds. */
  private static final long AFTER_RUN_MS = 6_000;

  /** Longest time without a run that is counted, in milliseconds. */
  private static final long AWAY_MS = 3_000;

  /**
   * Guards against a lasting task that stays without a run though there is free capacity, and so
   * is lost to its users.
   */
  @Test
  void lastingTasksAreSoonAtWorkAgainAfterFaults() {
    for (long seed = FIRST_SEED; seed < FIRST_SEED + RUNS; seed++) {
      new Run(seed).play();
    }
  }

  /** The scenario of one seed. */
  private static final class Run {

    /** Seed of the random numbers. */
    final long seed;

    /** Planner, store and backend servers. */
    final PlanWorld world;

    /**
     * Time since when each task has had no run though two backend servers have capacity for it, in
     * milliseconds of the steady clock.
     */
    final Map<TaskKey, Long> awaySinceMs = new HashMap<>();

    Run(long seed) {
      this.seed = seed;
      world = new PlanWorld(seed);
    }

    /** Runs the scenario and its checks. */
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

    /** Returns the answer to a call, {@link JobAnswer.Uncertain} if there is none yet. */
    private JobAnswer answer(long ticket) {
      return world.answers.getOrDefault(ticket, new JobAnswer.Uncertain());
    }

    /** Returns the tasks of both lasting jobs. */
    private List<TaskKey> tasks() {
      return IntStream.range(0, TASKS)
          .boxed()
          .flatMap(
              i ->
                  List.of(new TaskKey("a" + seed, 0, 0, i), new TaskKey("b" + seed, 0, 0, i))
                      .stream())
          .toList();
    }

    /** Lets time pass, in milliseconds, and records which tasks are without a run. */
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

    /** Tells whether a task has a run on any backend server. */
    private boolean runs(TaskKey task) {
      return world.servers.values().stream().anyMatch(s -> s.running.containsKey(task));
    }

    /** Returns the need of a lasting task, in thousandths of a core. */
    private static long cpuOf(TaskKey task) {
      return task.job().startsWith("a") ? SMALL_CPU : LARGE_CPU;
    }

    /** Tells whether at least two backend servers have free capacity for a task. */
    private boolean roomTwice(TaskKey task) {
      return world.servers.values().stream()
              .filter(s -> s.up && s.reachable && !s.draining)
              .filter(s -> s.service.equals(PlanWorld.SERVICE))
              .filter(s -> cpuOf(task) <= s.capacity.cpu() - used(s))
              .filter(s -> here(s, task) < PER_SERVER)
              .count()
          >= 2;
    }

    /** Returns the processors in use on a backend server, in thousandths of a core. */
    private static long used(FakeServer server) {
      return server.running.keySet().stream()
          .mapToLong(t -> t.job().startsWith("s") ? SMALL_CPU : cpuOf(t))
          .sum();
    }

    /** Returns the number of tasks of a task's job on a backend server. */
    private static long here(FakeServer server, TaskKey task) {
      return server.running.keySet().stream().filter(t -> t.job().equals(task.job())).count();
    }

    /**
     * Checks that no task has been without a run for too long; the argument is the time of the
     * last fault, in milliseconds of the steady clock.
     */
    private void check(long calmMs) {
      long now = world.now().steadyMs();
      awaySinceMs.forEach(
          (task, since) ->
              assertWithMessage(
                      "seed %s, %s without a run since %s, no fault since %s", seed, task, since, calmMs)
                  .that(now)
                  .isAtMost(
                      Math.max(calmMs + CALM_FIRST_MS, since + AFTER_RUN_MS) + AWAY_MS + LOOK_MS));
    }

    /**
     * Injects a random fault, or ends all, or does nothing; then makes sure that there is a
     * planner if the store is available.
     */
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

    /** Restarts a backend server, which ends its runs. */
    private void restart(FakeServer server) {
      server.crash();
      world.server(server.id, SERVER_CPU);
    }

    /** Cuts the power of a backend server; calls to it time out until it is started again. */
    private void goDark(FakeServer server) {
      server.crash();
      server.reachable = false;
    }

    /** Ends all faults. */
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
