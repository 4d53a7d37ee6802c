package dev.toucanstall.core.plan;

import static com.google.common.truth.Truth.assertThat;

import dev.toucanstall.core.job.JobRecord;
import dev.toucanstall.core.job.StepSpec;
import java.util.List;
import java.util.Objects;
import org.junit.jupiter.api.Test;

/**
 * Tests a change of planners right after a backend server has started again under its id and has
 * carried out orders that were meant for its former incarnation. The backend server is then cut
 * off.
 */
final class SuccessionAfterRestartTest {

  /** Time that a backend server is up before its later incarnation starts, in milliseconds. */
  private static final long UPTIME_MS = 20_000;

  /** Time from the start on the later incarnation to the loss of the planner, in milliseconds. */
  private static final long PLANNER_LOST_AFTER_MS = 600;

  /** Time from the loss of the planner until the backend server is cut off, in milliseconds. */
  private static final long CUT_OFF_AFTER_MS = 300;

  /** Time from the cut until the next planner is elected, in milliseconds. */
  private static final long ELECTED_AFTER_MS = 600;

  /** Time in which all leases of any planner expire, in milliseconds. */
  private static final long ALL_LEASES_MS = 13_000;

  /** Time from a renewal without an answer until its runs are known to have ended. */
  private static final long RENEWED_AGAIN_MS = 2_000;

  /** Time for which a planner can't reach a backend server that is listed, in milliseconds. */
  private static final long UNREACHED_MS = 6_000;

  private static final long SHORT_TASK_MS = 300;

  private static final long LONG_TASK_MS = 60_000;

  private final PlanSimulation sim = new PlanSimulation(1);

  /**
   * Has a later incarnation of "w1" carry out the start of a job's last step that was meant for the
   * earlier one. The first step's run ends with the earlier one, so that the job's progress is
   * stored again once the planner knows the later one.
   */
  private SimulatedServer startOnLaterIncarnation() {
    sim.taskLengths = task -> task.step() == 1 ? SHORT_TASK_MS : LONG_TASK_MS;
    sim.addServer("w1", 10_000);
    sim.electPlanner();
    sim.run(UPTIME_MS);
    sim.submit(
        "j",
        PlanSimulation.step(1, 1_000),
        PlanSimulation.step(1, 1_000),
        PlanSimulation.step(1, 1_000, 1));
    sim.runUntil(() -> sim.effects.stream().anyMatch(SuccessionAfterRestartTest::startsLastStep));
    SimulatedServer later = sim.restart("w1");
    sim.runUntil(() -> !later.running.isEmpty());
    return later;
  }

  private static boolean startsLastStep(PlanEffect effect) {
    return effect instanceof PlanEffect.Start start && start.task().step() == 2;
  }

  /** Asserts that both tasks run again elsewhere once all leases have expired, and not before. */
  private void assertBothStartedLater(SimulatedServer other) {
    sim.run(ALL_LEASES_MS);
    assertThat(sim.violations).isEmpty();
    assertThat(other.running).hasSize(2);
  }

  /**
   * Guards against two runs of a task at once: the lease of a start on the clock of a former
   * incarnation lasts longer than the next planner waits for the leases of its predecessor.
   */
  @Test
  void nextPlannerAwaitsLeaseOnFormerClock() {
    final SimulatedServer later = startOnLaterIncarnation();
    sim.run(PLANNER_LOST_AFTER_MS);
    final long confirmedMs = sim.now().steadyMs();
    sim.losePlanner();
    sim.run(CUT_OFF_AFTER_MS);
    later.reachable = false;
    final SimulatedServer other = sim.addServer("w2", 10_000);
    sim.run(ELECTED_AFTER_MS);
    sim.electNextPlanner(confirmedMs);
    assertBothStartedLater(other);
  }

  /**
   * Guards against the same where the next planner reaches the backend server at first, and takes
   * its lease for one of the usual length.
   */
  @Test
  void nextPlannerThatReachedServerAwaitsLeaseOnFormerClock() {
    final SimulatedServer later = startOnLaterIncarnation();
    sim.run(PLANNER_LOST_AFTER_MS);
    final long confirmedMs = sim.now().steadyMs();
    sim.losePlanner();
    sim.run(ELECTED_AFTER_MS);
    final SimulatedServer other = sim.addServer("w2", 10_000);
    sim.holdsBack = order -> order instanceof PlanEffect.Hold h && h.leaseExpiryMs() > 0;
    sim.electNextPlanner(confirmedMs);
    sim.run(CUT_OFF_AFTER_MS);
    later.reachable = false;
    sim.holdsBack = order -> false;
    assertBothStartedLater(other);
  }

  /** Guards against long waits for a backend server whose leases are all of the usual length. */
  @Test
  void serverIsForgottenOnceItsLeasesOnFormerClockHaveExpired() {
    startOnLaterIncarnation();
    sim.run(PLANNER_LOST_AFTER_MS);
    assertThat(serversOnFormerClocks()).containsExactly("w1");
    sim.run(ALL_LEASES_MS);
    assertThat(serversOnFormerClocks()).isEmpty();
  }

  /**
   * Guards against two runs of a task at once: the lost planner has learned of the later
   * incarnation, and the store has not taken what it learned.
   */
  @Test
  void nextPlannerAwaitsLeaseThatLostPlannerCouldNotStore() {
    final SimulatedServer later = startOnLaterIncarnation();
    sim.storeAvailable = false;
    final long confirmedMs = sim.now().steadyMs();
    sim.run(PLANNER_LOST_AFTER_MS);
    sim.losePlanner();
    later.reachable = false;
    sim.storeAvailable = true;
    final SimulatedServer other = sim.addServer("w2", 10_000);
    sim.run(ELECTED_AFTER_MS);
    sim.electNextPlanner(confirmedMs);
    assertBothStartedLater(other);
  }

  /** Restarts "w1", whose later incarnation the planner knows from its entry. */
  private SimulatedServer restartIdleServer() {
    sim.addServer("w1", 10_000);
    sim.electPlanner();
    sim.run(UPTIME_MS);
    return sim.restart("w1");
  }

  /** Guards against a record that names a backend server long after it has left. */
  @Test
  void serverThatLeavesBeforeItsFirstAnswerIsForgotten() {
    SimulatedServer later = restartIdleServer();
    later.reachable = false;
    sim.run(1_000);
    assertThat(serversOnFormerClocks()).containsExactly("w1");
    later.leave();
    sim.run(1_000);
    sim.restartServer(later);
    sim.run(30_000);
    assertThat(serversOnFormerClocks()).isEmpty();
  }

  /** Guards against two changes of planners in a row, before the backend server is listed again. */
  @Test
  void nextPlannerKeepsRecordOfServerWithoutTasks() {
    SimulatedServer later = restartIdleServer();
    sim.run(1_000);
    assertThat(serversOnFormerClocks()).containsExactly("w1");
    later.leave();
    sim.electPlanner();
    sim.run(500);
    assertThat(serversOnFormerClocks()).containsExactly("w1");
    sim.run(ALL_LEASES_MS);
    assertThat(serversOnFormerClocks()).isEmpty();
  }

  /**
   * Has a renewal with a lease for "w1", whose only run ends then, reach a later incarnation that
   * the lost planner didn't know, and a task start there under the next planner.
   *
   * @param step the step of the task
   */
  private SimulatedServer startOnServerThatOnlyLostPlannerKnew(StepSpec step) {
    holdBackRenewalOfEndedRun();
    final SimulatedServer later = sim.restart("w1");
    final long confirmedMs = losePlanner();
    sim.deliverOnItsWay();
    sim.run(ELECTED_AFTER_MS);
    sim.electNextPlanner(confirmedMs);
    sim.submit("j", step);
    sim.runUntil(() -> !later.running.isEmpty());
    return later;
  }

  /** Lets time pass until the run for which a renewal was held back is known to have ended. */
  private void holdBackRenewalOfEndedRun() {
    sim.taskLengths = task -> task.job().equals("first") ? SHORT_TASK_MS : LONG_TASK_MS;
    sim.addServer("w1", 10_000);
    sim.electPlanner();
    sim.run(UPTIME_MS);
    sim.submit("first", PlanSimulation.step(1, 1_000));
    sim.holdsBack = PlanSimulation::givesLease;
    sim.runUntil(() -> !sim.heldBack.isEmpty());
    sim.holdsBack = order -> false;
    sim.run(RENEWED_AGAIN_MS);
    assertThat(sim.stored.get("p/first")).isInstanceOf(JobRecord.Closed.class);
  }

  /** Ends the planner; returns the time at which the store has last confirmed it. */
  private long losePlanner() {
    final long confirmedMs = Objects.requireNonNull(sim.planner).plan.confirmedMs();
    sim.losePlanner();
    return confirmedMs;
  }

  /** Asserts that a task starts elsewhere once no lease of its cut off backend server is left. */
  private void assertStartedElsewhereLater(SimulatedServer cutOff) {
    sim.run(CUT_OFF_AFTER_MS);
    cutOff.reachable = false;
    final SimulatedServer other = sim.addServer("w2", 10_000);
    sim.run(ALL_LEASES_MS);
    assertThat(sim.violations).isEmpty();
    assertThat(other.running).hasSize(1);
  }

  /**
   * Guards against two runs of a task at once: a backend server without tasks has got a lease on
   * the clock of a former incarnation, which only the lost planner knew.
   */
  @Test
  void nextPlannerAwaitsLeaseOfIncarnationThatOnlyLostPlannerKnew() {
    assertStartedElsewhereLater(
        startOnServerThatOnlyLostPlannerKnew(PlanSimulation.step(1, 1_000)));
  }

  /** Guards against the same for a lasting task. */
  @Test
  void nextPlannerAwaitsLeaseOfIncarnationThatOnlyLostPlannerKnewForLastingTask() {
    assertStartedElsewhereLater(
        startOnServerThatOnlyLostPlannerKnew(PlanSimulation.lastingStep(1, 1_000, 0)));
  }

  /**
   * Guards against the same after two changes of planners in a row: the second lost planner counted
   * the longer lease, and the third one knows neither of them.
   */
  @Test
  void thirdPlannerAwaitsLeaseOfIncarnationThatOnlyFirstPlannerKnew() {
    final SimulatedServer later =
        startOnServerThatOnlyLostPlannerKnew(PlanSimulation.lastingStep(1, 1_000, 0));
    sim.run(CUT_OFF_AFTER_MS);
    final long confirmedMs = losePlanner();
    later.reachable = false;
    final SimulatedServer other = sim.addServer("w2", 10_000);
    sim.run(ELECTED_AFTER_MS);
    sim.electNextPlanner(confirmedMs);
    sim.run(ALL_LEASES_MS);
    assertThat(sim.violations).isEmpty();
    assertThat(other.running).hasSize(1);
  }

  /**
   * Guards against the same where the second planner has listed the later incarnation and never
   * reached it: a renewal of the first one arrives late, before any token.
   */
  @Test
  void thirdPlannerAwaitsLeaseOfIncarnationThatSecondPlannerNeverReached() {
    holdBackRenewalOfEndedRun();
    final SimulatedServer later = sim.restart("w1");
    later.reachable = false;
    long confirmedMs = losePlanner();
    sim.run(ELECTED_AFTER_MS);
    sim.electNextPlanner(confirmedMs);
    sim.run(UNREACHED_MS);
    confirmedMs = losePlanner();
    later.reachable = true;
    sim.deliverOnItsWay();
    sim.run(ELECTED_AFTER_MS);
    sim.electNextPlanner(confirmedMs);
    sim.submit("j", PlanSimulation.step(1, 1_000));
    sim.runUntil(() -> !later.running.isEmpty());
    assertStartedElsewhereLater(later);
  }

  /**
   * Guards against the same where the later incarnation was up for long, and cut off for as long,
   * so that the lost planner never knew it: a renewal of that planner arrives as the cut ends.
   */
  @Test
  void nextPlannerAwaitsLeaseOfIncarnationThatWasCutOffFromLostPlanner() {
    holdBackRenewalOfEndedRun();
    final SimulatedServer later = sim.restart("w1");
    later.reachable = false;
    later.reachesStore = false;
    later.lastReportMs = 0;
    sim.run(UNREACHED_MS);
    final long confirmedMs = losePlanner();
    sim.run(ELECTED_AFTER_MS);
    sim.electNextPlanner(confirmedMs);
    later.reachable = true;
    later.reachesStore = true;
    sim.deliverOnItsWay();
    sim.submit("j", PlanSimulation.step(1, 1_000));
    sim.runUntil(() -> !later.running.isEmpty());
    assertStartedElsewhereLater(later);
  }

  private List<String> serversOnFormerClocks() {
    return sim.records().stream()
        .filter(JobRecord.FormerClockLeases.class::isInstance)
        .map(JobRecord.FormerClockLeases.class::cast)
        .flatMap(record -> record.servers().stream())
        .toList();
  }
}
