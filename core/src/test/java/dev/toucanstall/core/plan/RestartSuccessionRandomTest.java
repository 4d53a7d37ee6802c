package dev.toucanstall.core.plan;

import static com.google.common.truth.Truth.assertWithMessage;

import dev.toucanstall.core.job.JobAnswer;
import dev.toucanstall.core.job.JobCall;
import dev.toucanstall.core.job.JobPhase;
import dev.toucanstall.core.job.TaskKey;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;

/**
 * Injects seeded series of faults: a backend server starts again under its id, soon after the
 * planner is lost and the backend server is cut off, and another planner is elected. Long tasks run
 * meanwhile; the invariants are checked at each start of a run.
 */
final class RestartSuccessionRandomTest {

  private static final int SEED_COUNT = Integer.getInteger("random.runs", 25);

  /** Seeds of which one must show a violation by planners that are broken on purpose. */
  private static final int BROKEN_SEED_COUNT = 50;

  private static final long FIRST_SEED = Long.getLong("random.seed", 1);

  private static final int SERVER_COUNT = 4;

  /** Number of series of faults at each seed. */
  private static final int SERIES_COUNT = 3;

  /** Time without faults before each series, in milliseconds; longer than any lease. */
  private static final long FAULT_FREE_MS = 12_000;

  /** Time in which all faults end and all leases expire after an election, in milliseconds. */
  private static final long SERIES_END_MS = 14_000;

  /** Time that all jobs have to complete after the last series, in milliseconds. */
  private static final long COMPLETION_MS = 60_000;

  /** Longest time in which no incarnation runs under the id, in milliseconds. */
  private static final int MAX_DARK_MS = 700;

  /** Longest time from the restart until an entry shows the later incarnation, in milliseconds. */
  private static final int MAX_ENTRY_DELAY_MS = 1_000;

  /** Shortest and longest time from the restart to the loss of the planner, in milliseconds. */
  private static final int MIN_LOSS_MS = 200;

  private static final int MAX_LOSS_MS = 3_000;

  /** Longest time from the loss of the planner until the backend server is cut off. */
  private static final int MAX_CUT_DELAY_MS = 1_000;

  /** Shortest and longest time that the backend server is cut off, in milliseconds. */
  private static final int MIN_CUT_MS = 6_000;

  private static final int MAX_CUT_MS = 12_000;

  /** Shortest and longest time from the loss of the planner to the election of the next. */
  private static final int MIN_ELECTION_MS = 300;

  private static final int MAX_ELECTION_MS = 2_000;

  /** Shortest and longest time between two jobs, in milliseconds. */
  private static final int MIN_JOB_GAP_MS = 100;

  private static final int MAX_JOB_GAP_MS = 400;

  private static final long SHORT_TASK_MS = 300;

  /** Length of one task of each job, longer than any lease, in milliseconds. */
  private static final long LONG_TASK_MS = 13_000;

  /** Time for which a broken planner doesn't await the leases of earlier ones. */
  private static final long UNAWAITED_MS = 4_000;

  private final Map<String, Long> callsByJob = new LinkedHashMap<>();

  /** Whether jobs are submitted. */
  private boolean submitting;

  /** Whether backend servers start again under their id, instead of under a new one. */
  private boolean keepsId = true;

  /** Changes the times at which a planner takes the leases of earlier ones for expired. */
  private UnaryOperator<Succession> successionChange = UnaryOperator.identity();

  /**
   * Guards against two runs of a task at once: the next planner takes leases for expired that a
   * later incarnation was given on the clock of a former one.
   */
  @Test
  void restartBeforeSuccessionViolatesNoInvariant() {
    List<String> violations = new ArrayList<>();
    for (long seed = FIRST_SEED; seed < FIRST_SEED + SEED_COUNT; seed++) {
      long current = seed;
      runSeed(seed).forEach(v -> violations.add("seed " + current + ": " + v));
    }
    assertWithMessage("violations").that(violations).isEmpty();
  }

  /**
   * Guards against an election that lets a task run twice without orders for a former incarnation:
   * the backend server starts again under a new id.
   */
  @Test
  void restartUnderNewIdViolatesNoInvariant() {
    keepsId = false;
    for (long seed = FIRST_SEED; seed < FIRST_SEED + SEED_COUNT; seed++) {
      assertWithMessage("seed %s", seed).that(runSeed(seed)).isEmpty();
    }
  }

  /** Guards against a random test that would not notice a planner that awaits no leases. */
  @Test
  void plannerThatAwaitsNoLeasesOfEarlierOnesViolatesInvariants() {
    keepsId = false;
    successionChange =
        s -> {
          long endMs = s.leasesEndMs() - UNAWAITED_MS;
          return new Succession(s.confirmedMs(), endMs, endMs);
        };
    boolean found = false;
    for (long seed = FIRST_SEED; seed < FIRST_SEED + BROKEN_SEED_COUNT && !found; seed++) {
      found = !runSeed(seed).isEmpty();
    }
    assertWithMessage("violations found").that(found).isTrue();
  }

  /**
   * Runs the scenario of a seed; returns the violations, and the jobs that were accepted and have
   * not completed some time after the last fault.
   */
  private List<String> runSeed(long seed) {
    PlanSimulation sim = new PlanSimulation(seed);
    sim.renewalsWait = true;
    sim.taskLengths = RestartSuccessionRandomTest::lengthMs;
    for (int i = 0; i < SERVER_COUNT; i++) {
      sim.addServer("w" + i, 20_000);
    }
    sim.electPlanner();
    callsByJob.clear();
    submitting = true;
    submitJobs(sim);
    for (int i = 0; i < SERIES_COUNT; i++) {
      sim.run(FAULT_FREE_MS);
      injectSeries(sim);
    }
    submitting = false;
    sim.run(COMPLETION_MS);
    List<String> violations = new ArrayList<>(sim.violations);
    callsByJob.forEach(
        (job, call) -> {
          if (new JobAnswer.Accepted().equals(sim.answers.get(call))) {
            long callId = sim.call(new JobCall.Show(job, PlanSimulation.QUEUE));
            sim.run(20);
            JobAnswer answer = sim.answers.get(callId);
            if (!new JobAnswer.Shown(JobPhase.COMPLETED).equals(answer)) {
              violations.add("accepted job " + job + ": " + answer);
            }
          }
        });
    return violations;
  }

  private static long lengthMs(TaskKey task) {
    return task.step() == 1 ? LONG_TASK_MS : SHORT_TASK_MS;
  }

  /**
   * Submits a job with a long task and with short ones, whose ends change its progress while the
   * long one runs; then others later.
   */
  private void submitJobs(PlanSimulation sim) {
    if (!submitting) {
      return;
    }
    String job = "j" + callsByJob.size();
    callsByJob.put(
        job,
        sim.submit(
            job,
            PlanSimulation.step(1 + sim.random.nextInt(3), 1_000),
            PlanSimulation.step(1, 1_000),
            PlanSimulation.step(1 + sim.random.nextInt(3), 1_000, 0)));
    sim.after(drawMs(sim, MIN_JOB_GAP_MS, MAX_JOB_GAP_MS), () -> submitJobs(sim));
  }

  /**
   * Restarts a backend server under its id, loses the planner, cuts the backend server off, and
   * elects a planner that knows when the store last confirmed the lost one.
   */
  private void injectSeries(PlanSimulation sim) {
    SimulatedServer former = randomServer(sim);
    former.crash();
    former.reachable = false;
    sim.run(sim.random.nextInt(MAX_DARK_MS));
    final SimulatedServer later = restart(sim, former);
    sim.run(drawMs(sim, MIN_LOSS_MS, MAX_LOSS_MS));
    final long confirmedMs = losePlanner(sim);
    sim.after(sim.random.nextInt(MAX_CUT_DELAY_MS), () -> cutOff(sim, later));
    sim.run(drawMs(sim, MIN_ELECTION_MS, MAX_ELECTION_MS));
    Succession succession = Succession.of(sim.now().steadyMs(), confirmedMs, 0);
    sim.electPlanner(successionChange.apply(succession));
    sim.run(SERIES_END_MS);
  }

  /** Starts a backend server again; its first report reaches the store a little later. */
  private SimulatedServer restart(PlanSimulation sim, SimulatedServer former) {
    SimulatedServer later =
        keepsId ? sim.restartServer(former) : sim.addServer(former.id + "-", former.capacity.cpu());
    later.lastReportMs = 0;
    later.reachesStore = false;
    sim.after(sim.random.nextInt(MAX_ENTRY_DELAY_MS), () -> later.reachesStore = later.reachable);
    return later;
  }

  /** Ends the planner; returns the time at which the store had last confirmed it. */
  private static long losePlanner(PlanSimulation sim) {
    PlanSimulation.Planner lost = sim.planner;
    if (lost == null) {
      return sim.now().steadyMs();
    }
    lost.active = false;
    return lost.plan.confirmedMs();
  }

  /** Cuts a backend server off from planner and store for some time. */
  private static void cutOff(PlanSimulation sim, SimulatedServer server) {
    server.reachable = false;
    server.reachesStore = false;
    sim.after(
        drawMs(sim, MIN_CUT_MS, MAX_CUT_MS),
        () -> {
          server.reachable = true;
          server.reachesStore = true;
        });
  }

  private static SimulatedServer randomServer(PlanSimulation sim) {
    List<SimulatedServer> up = sim.servers.values().stream().filter(s -> s.up).toList();
    return up.get(sim.random.nextInt(up.size()));
  }

  private static long drawMs(PlanSimulation sim, int minMs, int maxMs) {
    return minMs + sim.random.nextInt(maxMs - minMs);
  }
}
