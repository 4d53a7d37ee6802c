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
 * Injects seeded random faults; after the last one each lasting task must soon have a run again.
 */
final class LastingTaskRandomTest {

  private static final int SEED_COUNT = Integer.getInteger("random.runs", 25);
  private static final long FIRST_SEED = Long.getLong("random.seed", 1);
  private static final int SERVER_COUNT = 8;

  /** Steps in which a fault may be injected. */
  private static final int STEP_COUNT = 60;

  /** Tasks of each of the two lasting jobs. */
  private static final int TASKS_PER_JOB = 6;

  private static final long SERVER_CPU = 10_000;

  /** Need of a task of the first lasting job and of the short jobs, in thousandths of a core. */
  private static final long SMALL_CPU = 1_000;

  /** Need of a task of the second lasting job, in thousandths of a core. */
  private static final long LARGE_CPU = 2_000;

  private static final int MAX_PER_SERVER = 3;
  private static final long CHECK_INTERVAL_MS = 100;

  /** Time without faults in which the tasks are checked, in milliseconds. */
  private static final long FAULT_FREE_MS = 30_000;

  /** Time after the last fault that is not counted as unavailable, in milliseconds. */
  private static final long RECOVERY_MS = 4_000;

  /** Time after the end of a run that is not counted as unavailable, in milliseconds. */
  private static final long RESTART_MS = 6_000;

  /** Maximum time without a run after the times that are not counted, in milliseconds. */
  private static final long MAX_OUTAGE_MS = 3_000;

  /**
   * Guards against a lasting task that stays without a run though there is free capacity, and so is
   * lost to its users.
   */
  @Test
  void lastingTasksRestartSoonAfterFaults() {
    for (long seed = FIRST_SEED; seed < FIRST_SEED + SEED_COUNT; seed++) {
      new Scenario(seed).execute();
    }
  }

  private static final class Scenario {

    final long seed;
    final PlanSimulation sim;

    /**
     * Time since when each task has had no run though at least two backend servers could run it, in
     * milliseconds of the monotonic clock.
     */
    final Map<TaskKey, Long> unavailableSinceMs = new HashMap<>();

    Scenario(long seed) {
      this.seed = seed;
      sim = new PlanSimulation(seed);
    }

    void execute() {
      IntStream.range(0, SERVER_COUNT).forEach(i -> sim.addServer("w" + i, SERVER_CPU));
      sim.electPlanner();
      sim.run(200);
      final long firstCall =
          sim.submit(
              "a" + seed, PlanSimulation.lastingStep(TASKS_PER_JOB, SMALL_CPU, MAX_PER_SERVER));
      final long secondCall =
          sim.submit(
              "b" + seed, PlanSimulation.lastingStep(TASKS_PER_JOB, LARGE_CPU, MAX_PER_SERVER));
      sim.run(1_000);
      assertWithMessage("seed %s", seed)
          .that(List.of(answer(firstCall), answer(secondCall)))
          .containsExactly(new JobAnswer.Accepted(), new JobAnswer.Accepted());
      for (int i = 0; i < STEP_COUNT; i++) {
        injectFault();
        sim.submit("s" + seed + "-" + i, PlanSimulation.step(3, SMALL_CPU));
        runAndRecord(50 + sim.random.nextInt(250));
      }
      clearFaults();
      final long lastFaultMs = sim.now().steadyMs();
      for (long elapsedMs = 0; elapsedMs < FAULT_FREE_MS; elapsedMs += CHECK_INTERVAL_MS) {
        runAndRecord(CHECK_INTERVAL_MS);
        assertOutagesBounded(lastFaultMs);
      }
    }

    private JobAnswer answer(long callId) {
      return sim.answers.getOrDefault(callId, new JobAnswer.Uncertain());
    }

    private List<TaskKey> tasks() {
      return IntStream.range(0, TASKS_PER_JOB)
          .boxed()
          .flatMap(
              i ->
                  List.of(new TaskKey("a" + seed, 0, 0, i), new TaskKey("b" + seed, 0, 0, i))
                      .stream())
          .toList();
    }

    /** Lets time pass, in milliseconds, and records which tasks are without a run. */
    private void runAndRecord(long durationMs) {
      sim.run(durationMs);
      long nowMs = sim.now().steadyMs();
      for (TaskKey task : tasks()) {
        if (isRunning(task) || !fitsOnAtLeastTwoServers(task)) {
          unavailableSinceMs.remove(task);
        } else {
          unavailableSinceMs.putIfAbsent(task, nowMs);
        }
      }
    }

    private boolean isRunning(TaskKey task) {
      return sim.servers.values().stream().anyMatch(s -> s.running.containsKey(task));
    }

    private static long cpuOf(TaskKey task) {
      return task.job().startsWith("a") ? SMALL_CPU : LARGE_CPU;
    }

    private boolean fitsOnAtLeastTwoServers(TaskKey task) {
      return sim.servers.values().stream()
              .filter(s -> s.up && s.reachable && !s.draining)
              .filter(s -> s.service.equals(PlanSimulation.SERVICE))
              .filter(s -> cpuOf(task) <= s.capacity.cpu() - usedCpu(s))
              .filter(s -> tasksOfSameJob(s, task) < MAX_PER_SERVER)
              .count()
          >= 2;
    }

    private static long usedCpu(SimulatedServer server) {
      return server.running.keySet().stream()
          .mapToLong(t -> t.job().startsWith("s") ? SMALL_CPU : cpuOf(t))
          .sum();
    }

    private static long tasksOfSameJob(SimulatedServer server, TaskKey task) {
      return server.running.keySet().stream().filter(t -> t.job().equals(task.job())).count();
    }

    /**
     * Asserts that no task has been without a run for longer than {@link #MAX_OUTAGE_MS} beyond the
     * times that are not counted.
     *
     * @param lastFaultMs time of the last fault, in milliseconds of the monotonic clock
     */
    private void assertOutagesBounded(long lastFaultMs) {
      long nowMs = sim.now().steadyMs();
      unavailableSinceMs.forEach(
          (task, sinceMs) ->
              assertWithMessage(
                      "seed %s, %s without a run since %s, no fault since %s",
                      seed, task, sinceMs, lastFaultMs)
                  .that(nowMs)
                  .isAtMost(
                      Math.max(lastFaultMs + RECOVERY_MS, sinceMs + RESTART_MS)
                          + MAX_OUTAGE_MS
                          + CHECK_INTERVAL_MS));
    }

    /**
     * Injects a random fault, or ends all, or does nothing; then makes sure that there is a planner
     * if the store is available.
     */
    private void injectFault() {
      List<SimulatedServer> all = List.copyOf(sim.servers.values());
      SimulatedServer server = all.get(sim.random.nextInt(all.size()));
      switch (sim.random.nextInt(14)) {
        case 0 -> sim.answerLossRate = 0.2;
        case 1 -> sim.lateOrderRate = 0.1;
        case 2 -> clearFaults();
        case 3 -> sim.storeAvailable = false;
        case 4 -> sim.storeAvailable = true;
        case 5 -> {
          PlanSimulation.Planner previous = sim.planner;
          if (previous != null && sim.random.nextBoolean()) {
            previous.active = false;
          }
          if (sim.storeAvailable) {
            sim.electPlanner();
          }
        }
        case 6 -> server.reachable = !server.reachable;
        case 7 -> restart(server);
        case 8 -> losePower(server);
        case 9 -> server.draining = true;
        default -> {}
      }
      if (sim.planner == null || (!sim.planner.active && sim.storeAvailable)) {
        sim.electPlanner();
      }
    }

    private void restart(SimulatedServer server) {
      server.crash();
      sim.addServer(server.id, SERVER_CPU);
    }

    /** Cuts the power of a backend server; calls to it time out until it is started again. */
    private void losePower(SimulatedServer server) {
      server.crash();
      server.reachable = false;
    }

    private void clearFaults() {
      sim.answerLossRate = 0;
      sim.lateOrderRate = 0;
      sim.storeAvailable = true;
      for (SimulatedServer server : List.copyOf(sim.servers.values())) {
        server.draining = false;
        if (server.up) {
          server.reachable = true;
        } else {
          sim.addServer(server.id, SERVER_CPU);
        }
      }
      if (sim.planner == null || !sim.planner.active) {
        sim.electPlanner();
      }
    }
  }
}
