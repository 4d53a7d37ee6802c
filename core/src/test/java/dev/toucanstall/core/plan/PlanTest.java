package dev.toucanstall.core.plan;

import static com.google.common.truth.Truth.assertThat;

import dev.toucanstall.core.job.Account;
import dev.toucanstall.core.job.Catalog;
import dev.toucanstall.core.job.JobAnswer;
import dev.toucanstall.core.job.JobCall;
import dev.toucanstall.core.job.JobPhase;
import dev.toucanstall.core.job.JobSpec;
import dev.toucanstall.core.job.Queue;
import dev.toucanstall.core.job.Resources;
import dev.toucanstall.core.job.TaskKey;
import dev.toucanstall.core.job.WaveOrder;
import dev.toucanstall.core.lease.LeaseBound;
import dev.toucanstall.core.lease.ServerClock;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Tests {@link PlanReducer} on a simulated store and simulated backend servers. The name of each
 * test says which load or failure it simulates.
 */
final class PlanTest {

  /**
   * Time after which a renewal that a backend server has carried out is answered, in milliseconds.
   */
  private static final long RENEWAL_ANSWER_MS = 200;

  /** Returns a planner that has read the list of some backend servers of ten cores each. */
  private static PlanSimulation simulationWithPlanner(String... servers) {
    PlanSimulation sim = new PlanSimulation(1);
    Stream.of(servers).forEach(id -> sim.addServer(id, 10_000));
    sim.electPlanner();
    sim.run(200);
    return sim;
  }

  /** Queries the phase of a job; returns {@link JobAnswer.Uncertain} if there is no answer. */
  private static JobAnswer queryJob(PlanSimulation sim, String job) {
    final long callId = sim.call(new JobCall.Show(job, PlanSimulation.QUEUE));
    sim.run(100);
    return sim.answers.getOrDefault(callId, new JobAnswer.Uncertain());
  }

  private static long activeRunsOf(PlanSimulation sim, String job) {
    return sim.servers.values().stream()
        .filter(s -> s.up)
        .flatMap(s -> s.running.keySet().stream())
        .filter(t -> t.job().equals(job))
        .count();
  }

  @Test
  void stepsRunInOrder() {
    PlanSimulation sim = simulationWithPlanner("w1", "w2");
    final long callId =
        sim.submit("j", PlanSimulation.step(4, 1_000), PlanSimulation.step(3, 1_000, 0));
    sim.run(2_000);
    assertThat(sim.answers.get(callId)).isEqualTo(new JobAnswer.Accepted());
    assertThat(queryJob(sim, "j")).isEqualTo(new JobAnswer.Shown(JobPhase.COMPLETED));
    assertThat(sim.completed).hasSize(7);
    assertThat(sim.violations).isEmpty();
  }

  /** Guards against a backlog of the planner that no log line and no metric shows. */
  @Test
  void loadCountsJobsServersAndTasksByPhase() {
    PlanSimulation sim = simulationWithPlanner("w1", "w2");
    sim.submit("j", PlanSimulation.step(4, 1_000), PlanSimulation.step(3, 1_000, 0));
    sim.run(300);
    PlanLoad load = Objects.requireNonNull(sim.planner).plan.load();
    assertThat(load).isEqualTo(new PlanLoad(load.passes(), 1, 2, 1, 3, 0, 4, 0, load.jobBytes()));
    assertThat(load.passes()).isAtLeast(1);
  }

  @Test
  void startIsSentOnlyOnceItsRecordIsStored() {
    PlanSimulation sim = simulationWithPlanner("w1");
    sim.storeAvailable = false;
    final long callId = sim.submit("j", PlanSimulation.step(1, 1_000));
    sim.run(400);
    assertThat(sim.answers).doesNotContainKey(callId);
    assertThat(sim.effects.stream().anyMatch(e -> e instanceof PlanEffect.Start)).isFalse();
  }

  @Test
  void submissionIsRefusedAtOnceWhileStoreIsUnavailable() {
    PlanSimulation sim = simulationWithPlanner();
    sim.storeAvailable = false;
    sim.submit("first", PlanSimulation.step(1, 1_000));
    sim.run(100);
    long secondCall = sim.submit("second", PlanSimulation.step(1, 1_000));
    sim.run(2_500);
    assertThat(sim.answers.get(secondCall)).isInstanceOf(JobAnswer.Refused.class);
    long thirdCall = sim.submit("third", PlanSimulation.step(1, 1_000));
    assertThat(sim.answers.get(thirdCall)).isInstanceOf(JobAnswer.Refused.class);
    sim.storeAvailable = true;
    sim.run(2_000);
    assertThat(queryJob(sim, "second")).isEqualTo(new JobAnswer.Absent());
  }

  @Test
  void appendWithLostAnswerStoresOneJob() {
    PlanSimulation sim = new PlanSimulation(3);
    sim.addServer("w1", 10_000);
    sim.electPlanner();
    sim.run(200);
    sim.answerLossRate = 1;
    final long callId = sim.submit("j", PlanSimulation.step(1, 1_000));
    sim.run(50);
    sim.answerLossRate = 0;
    sim.run(3_000);
    assertThat(sim.answers.get(callId)).isEqualTo(new JobAnswer.Accepted());
    assertThat(queryJob(sim, "j")).isEqualTo(new JobAnswer.Shown(JobPhase.COMPLETED));
    assertThat(sim.violations).isEmpty();
  }

  @Test
  void queueContinuesPastTasksWithoutFreeCapacity() {
    PlanSimulation sim = simulationWithPlanner("w1");
    for (int i = 0; i < 20; i++) {
      sim.submit("apart" + i, PlanSimulation.lastingStep(2, 10, 1));
    }
    sim.submit("short", PlanSimulation.step(2, 1_000));
    sim.run(3_000);
    assertThat(queryJob(sim, "short")).isEqualTo(new JobAnswer.Shown(JobPhase.COMPLETED));
  }

  @Test
  void unresponsiveServerLosesTasksOnceLeasesExpire() {
    PlanSimulation sim = simulationWithPlanner("w1");
    final SimulatedServer unresponsive = sim.requireServer("w1");
    sim.submit("j", PlanSimulation.lastingStep(3, 1_000, 0));
    sim.run(1_000);
    assertThat(unresponsive.running).hasSize(3);
    unresponsive.reachable = false;
    sim.addServer("w2", 10_000);
    sim.run(10_000);
    assertThat(sim.requireServer("w2").running).hasSize(3);
    assertThat(sim.violations).isEmpty();
  }

  /**
   * Guards against two runs of a task at the same time: the network refuses or resets connections
   * to a backend server that runs on.
   */
  @Test
  void runsBehindRefusedConnectionsAreNotStartedElsewhere() {
    PlanSimulation sim = simulationWithPlanner("w1");
    final SimulatedServer cutOff = sim.requireServer("w1");
    sim.taskMs = 4_000;
    sim.submit("j", PlanSimulation.lastingStep(3, 1_000, 0));
    sim.submit("k", PlanSimulation.step(2, 1_000));
    sim.run(1_000);
    assertThat(cutOff.running).hasSize(5);
    sim.addServer("w2", 10_000);
    cutOff.refusesConnections = true;
    sim.run(5_500);
    cutOff.refusesConnections = false;
    sim.run(8_000);
    assertThat(sim.violations).isEmpty();
    assertThat(activeRunsOf(sim, "j")).isEqualTo(3);
    assertThat(queryJob(sim, "k")).isEqualTo(new JobAnswer.Shown(JobPhase.COMPLETED));
  }

  /** Guards against tasks that stay bound to a crashed backend server after its leases. */
  @Test
  void crashedServerLosesTasksOnceItsLeasesHaveExpired() {
    PlanSimulation sim = new PlanSimulation(1);
    sim.addServer("w1", 10_000);
    sim.run(PlanSimulation.LONG_UPTIME_MS);
    sim.electPlanner();
    sim.run(200);
    sim.submit("j", PlanSimulation.lastingStep(3, 1_000, 0));
    sim.run(1_000);
    sim.requireServer("w1").crash();
    sim.addServer("w2", 10_000);
    sim.run(ServerClock.longestDurationMs(LeaseBound.LEASE_MS) + 300);
    assertThat(activeRunsOf(sim, "j")).isEqualTo(3);
    assertThat(sim.violations).isEmpty();
  }

  /**
   * Guards against releasing the tasks of a backend server for an answer to its predecessor: a
   * start that was meant for an earlier incarnation is answered by another backend server at its
   * address.
   */
  @Test
  void answerOfAnotherServerAtFormerAddressDoesNotEndLaterIncarnation() {
    PlanSimulation sim = simulationWithPlanner("w1");
    final long formerStartMs = sim.requireServer("w1").startTimeMs;
    sim.requireServer("w1").crash();
    sim.addServer("w1", 10_000);
    sim.run(1_000);
    sim.submit("j", PlanSimulation.lastingStep(3, 1_000, 0));
    sim.run(1_000);
    TaskKey task = new TaskKey("j", 0, 0, 0);
    sim.post(new PlanEvent.Started("w1", formerStartMs, task, 1, new OrderResult.OtherLife()));
    sim.post(new PlanEvent.Stopped("w1", formerStartMs, task, 1, new OrderResult.OtherLife()));
    sim.addServer("w2", 10_000);
    sim.run(2_000);
    assertThat(sim.violations).isEmpty();
    assertThat(sim.requireServer("w1").running).hasSize(3);
  }

  /**
   * Guards against a task that waits for ever for a start which did not reach its backend server:
   * it was meant for an earlier incarnation, and another backend server has answered at its
   * address.
   */
  @Test
  void startThatAnotherServerAnsweredDoesNotStayPending() {
    PlanSimulation sim = simulationWithPlanner("w1");
    final SimulatedServer former = sim.requireServer("w1");
    former.reachable = false;
    sim.submit("j", PlanSimulation.step(1, 1_000));
    while (sim.effects.stream().noneMatch(e -> e instanceof PlanEffect.Start)) {
      sim.run(1);
    }
    sim.addServer("w1", 10_000);
    sim.post(sim.serversRead(false));
    Task task =
        Objects.requireNonNull(Objects.requireNonNull(sim.planner).plan.jobs.get("j"))
            .tasks()
            .findFirst()
            .orElseThrow();
    assertThat(task.startsSent).isEqualTo(1);
    sim.post(
        new PlanEvent.Started(
            "w1", former.startTimeMs, task.key, task.run, new OrderResult.OtherLife()));
    assertThat(task.startsSent).isEqualTo(0);
    sim.run(2_000);
    assertThat(queryJob(sim, "j")).isEqualTo(new JobAnswer.Shown(JobPhase.COMPLETED));
    assertThat(sim.violations).isEmpty();
  }

  /** Guards against stops that are repeated without a pause while connections are refused. */
  @Test
  void stopIsNotRepeatedWhileConnectionsAreRefused() {
    PlanSimulation sim = simulationWithPlanner("w1");
    final SimulatedServer cutOff = sim.requireServer("w1");
    sim.submit("j", PlanSimulation.lastingStep(1, 1_000, 0));
    sim.run(1_000);
    cutOff.refusesConnections = true;
    sim.run(RENEWAL_ANSWER_MS);
    sim.call(new JobCall.Cancel("j", PlanSimulation.QUEUE));
    sim.run(2_000);
    assertThat(sim.effects.stream().filter(e -> e instanceof PlanEffect.Stop).count()).isEqualTo(1);
    cutOff.refusesConnections = false;
    sim.run(1_000);
    assertThat(cutOff.running).isEmpty();
  }

  @Test
  void serverThatEndedDuringPlannerChangeRetainsNoTask() {
    PlanSimulation sim = new PlanSimulation(1);
    final SimulatedServer ended = sim.addServer("w1", 10_000);
    final PlanSimulation.Planner firstPlanner = sim.electPlanner();
    sim.run(200);
    sim.submit("j", PlanSimulation.lastingStep(3, 1_000, 0));
    sim.run(1_000);
    firstPlanner.active = false;
    ended.reachable = false;
    sim.run(1_000);
    ended.crash();
    sim.servers.remove("w1");
    sim.addServer("w2", 10_000);
    sim.electPlanner();
    sim.run(12_000);
    assertThat(sim.requireServer("w2").running).hasSize(3);
    assertThat(sim.violations).isEmpty();
  }

  /**
   * Guards against a wait that counts from the election though the last planner was lost long
   * before: its backend server had left, and a lasting task stays without a run.
   */
  @Test
  void tasksOfServerThatLeftLongAfterTheLastConfirmationAreStartedSoon() {
    PlanSimulation sim = new PlanSimulation(1);
    final SimulatedServer left = sim.addServer("w1", 10_000);
    final PlanSimulation.Planner firstPlanner = sim.electPlanner();
    sim.run(200);
    sim.submit("j", PlanSimulation.lastingStep(3, 1_000, 0));
    sim.run(1_000);
    firstPlanner.active = false;
    sim.run(6_000);
    left.leave();
    left.reachable = false;
    sim.addServer("w2", 10_000);
    sim.electPlanner(
        Succession.of(sim.now().steadyMs(), firstPlanner.plan.confirmedMs(), Long.MAX_VALUE));
    sim.run(5_500);
    assertThat(sim.requireServer("w2").running).hasSize(3);
    assertThat(sim.violations).isEmpty();
  }

  /**
   * Guards against the same rule where it proves nothing: a backend server whose entry is listed,
   * or that a list lacks for a short time only, is cut off and runs on.
   */
  @Test
  void tasksOfListedServerAwaitTheLeasesOfEarlierPlanners() {
    PlanSimulation sim = new PlanSimulation(1);
    final SimulatedServer cutOff = sim.addServer("w1", 10_000);
    sim.electPlanner();
    sim.run(200);
    sim.submit("j", PlanSimulation.lastingStep(3, 1_000, 0));
    sim.run(1_000);
    cutOff.refusesConnections = true;
    sim.addServer("w2", 10_000);
    sim.electPlanner();
    sim.run(8_000);
    assertThat(sim.requireServer("w2").running).isEmpty();
    sim.run(3_000);
    assertThat(sim.requireServer("w2").running).hasSize(3);
    assertThat(sim.violations).isEmpty();
  }

  /** Guards against a lease that outlasts the time for which a successor waits. */
  @Test
  void leaseEndsWithinTheHorizonOfThePlannersLastConfirmation() {
    PlanSimulation sim = simulationWithPlanner("w1");
    final SimulatedServer server = sim.requireServer("w1");
    sim.submit("j", PlanSimulation.lastingStep(3, 1_000, 0));
    sim.run(1_000);
    final long lostMs = sim.now().steadyMs();
    sim.storeAvailable = false;
    sim.run(PlanReducer.LEASE_HORIZON_MS - 1_000);
    assertThat(server.running).hasSize(3);
    sim.run(2_000);
    assertThat(server.running).isEmpty();
    assertThat(server.leaseExpiryMs).isAtMost(lostMs + PlanReducer.LEASE_HORIZON_MS);
  }

  /**
   * Guards against starts that come too late for a backend server whose clock has not been read for
   * minutes: their deadlines allow for a slow clock.
   */
  @Test
  void serverThatWasIdleForMinutesIsUsedAtOnce() {
    PlanSimulation sim = simulationWithPlanner("w1");
    sim.run(400_000);
    sim.submit("j", PlanSimulation.step(3, 1_000));
    sim.run(1_000);
    assertThat(queryJob(sim, "j")).isEqualTo(new JobAnswer.Shown(JobPhase.COMPLETED));
    assertThat(sim.violations).isEmpty();
  }

  /**
   * Guards against work that an outage of the store ends though no other planner can be elected.
   */
  @Test
  void leasesAreProlongedWhileTheStoreIsAwayForAll() {
    PlanSimulation sim = simulationWithPlanner("w1");
    final SimulatedServer server = sim.requireServer("w1");
    sim.submit("j", PlanSimulation.lastingStep(3, 1_000, 0));
    sim.run(1_000);
    final long lostMs = sim.now().steadyMs();
    sim.storeAvailable = false;
    Objects.requireNonNull(sim.planner).plan.setStoreAwayForAll(true);
    sim.run(9_000);
    assertThat(server.running).hasSize(3);
    assertThat(server.leaseExpiryMs).isAtMost(lostMs + PlanReducer.OUTAGE_LEASE_HORIZON_MS);
    sim.storeAvailable = true;
    sim.run(2_000);
    assertThat(server.running).hasSize(3);
    assertThat(sim.violations).isEmpty();
  }

  /**
   * Guards against lasting tasks that wait for a lease which the predecessor can no longer renew,
   * because the backend server has seen a higher fencing token.
   */
  @Test
  void serverThatAnsweredNextPlannerRetainsTasksForOneLeaseOnly() {
    PlanSimulation sim = new PlanSimulation(1);
    final SimulatedServer answered = sim.addServer("w1", 10_000);
    sim.run(PlanSimulation.LONG_UPTIME_MS);
    final PlanSimulation.Planner firstPlanner = sim.electPlanner();
    sim.run(200);
    sim.submit("j", PlanSimulation.lastingStep(3, 1_000, 0));
    sim.run(1_000);
    firstPlanner.active = false;
    sim.electPlanner();
    sim.run(300);
    answered.crash();
    answered.reachable = false;
    sim.addServer("w2", 10_000);
    sim.run(7_500);
    assertThat(sim.requireServer("w2").running).hasSize(3);
    assertThat(sim.violations).isEmpty();
  }

  /**
   * Guards against sending a second start of a task after a backend server has listed the first run
   * as completed. The completion arrives late: the second run is already decided, but its start is
   * not yet sent.
   */
  @Test
  void completionListedBeforeNextStartIsSentCompletesTask() {
    PlanSimulation sim = simulationWithPlanner("w1");
    final SimulatedServer unresponsive = sim.requireServer("w1");
    sim.submit("j", PlanSimulation.step(1, 1_000));
    sim.run(100);
    assertThat(unresponsive.running).hasSize(1);
    unresponsive.reachable = false;
    sim.addServer("w2", 10_000);
    final Plan plan = Objects.requireNonNull(sim.planner).plan;
    final Server server = Objects.requireNonNull(plan.servers.get("w1"));
    while (sim.now().steadyMs() < server.leases.expiredMs() - 20) {
      sim.run(10);
    }
    sim.storeDelayMs = 2_000;
    final Job job = Objects.requireNonNull(plan.jobs.get("j"));
    while (job.tasks().noneMatch(t -> t.run == 2)) {
      sim.run(1);
    }
    unresponsive.reachable = true;
    sim.run(1_500);
    sim.storeDelayMs = 0;
    sim.run(4_000);
    assertThat(queryJob(sim, "j")).isEqualTo(new JobAnswer.Shown(JobPhase.COMPLETED));
    assertThat(sim.effects.stream().filter(e -> e instanceof PlanEffect.Start).count())
        .isEqualTo(1);
    assertThat(sim.violations).isEmpty();
  }

  @Test
  void newPlannerContinuesActiveRuns() {
    PlanSimulation sim = new PlanSimulation(1);
    final SimulatedServer server = sim.addServer("w1", 10_000);
    final PlanSimulation.Planner firstPlanner = sim.electPlanner();
    sim.run(200);
    sim.submit("j", PlanSimulation.lastingStep(3, 1_000, 0));
    sim.run(1_000);
    firstPlanner.active = false;
    sim.run(2_000);
    sim.electPlanner();
    sim.run(10_000);
    assertThat(server.running.values().stream().allMatch(r -> r.number() == 1)).isTrue();
    assertThat(server.running).hasSize(3);
    assertThat(sim.violations).isEmpty();
  }

  @Test
  void resumedOldPlannerOrdersNothing() {
    PlanSimulation sim = new PlanSimulation(1);
    sim.addServer("w1", 10_000);
    final PlanSimulation.Planner firstPlanner = sim.electPlanner();
    sim.run(200);
    sim.submit("j", PlanSimulation.step(3, 1_000));
    sim.run(20);
    firstPlanner.active = false;
    sim.run(3_000);
    sim.electPlanner();
    sim.run(500);
    firstPlanner.active = true;
    firstPlanner.handle(
        new PlanEvent.Called(
            99,
            new JobCall.Submit(
                "k",
                PlanSimulation.QUEUE,
                PlanSimulation.ACCOUNT,
                new JobSpec("", List.of(PlanSimulation.step(1, 1)), 1, 0, 0))));
    sim.run(3_000);
    assertThat(firstPlanner.active).isFalse();
    assertThat(queryJob(sim, "k")).isEqualTo(new JobAnswer.Absent());
    assertThat(sim.violations).isEmpty();
  }

  @Test
  void cancelledJobStopsAndStaysCancelledForNextPlanner() {
    PlanSimulation sim = new PlanSimulation(1);
    final SimulatedServer server = sim.addServer("w1", 10_000);
    final PlanSimulation.Planner firstPlanner = sim.electPlanner();
    sim.run(200);
    sim.submit("j", PlanSimulation.lastingStep(3, 1_000, 0));
    sim.run(1_000);
    final long callId = sim.call(new JobCall.Cancel("j", PlanSimulation.QUEUE));
    sim.run(500);
    assertThat(sim.answers.get(callId)).isEqualTo(new JobAnswer.Cancelled());
    assertThat(server.running).isEmpty();
    firstPlanner.active = false;
    sim.electPlanner();
    sim.run(1_000);
    assertThat(queryJob(sim, "j")).isEqualTo(new JobAnswer.Shown(JobPhase.CANCELLED));
    assertThat(server.running).isEmpty();
  }

  @Test
  void accountQuotaHoldsAcrossServers() {
    PlanSimulation sim = new PlanSimulation(1);
    sim.quota = new Resources(4_000, 0, 0);
    sim.addServer("w1", 10_000);
    sim.addServer("w2", 10_000);
    sim.electPlanner();
    sim.run(200);
    sim.submit("j", PlanSimulation.step(12, 1_000));
    sim.run(3_000);
    assertThat(queryJob(sim, "j")).isEqualTo(new JobAnswer.Shown(JobPhase.COMPLETED));
    assertThat(sim.violations).isEmpty();
  }

  @Test
  void lateOrdersNeverCauseTwoRuns() {
    PlanSimulation sim = new PlanSimulation(5);
    sim.addServer("w1", 10_000);
    sim.addServer("w2", 10_000);
    sim.electPlanner();
    sim.run(200);
    sim.lateOrderRate = 0.4;
    for (int i = 0; i < 20; i++) {
      sim.submit("j" + i, PlanSimulation.step(3, 500), PlanSimulation.step(2, 500, 0));
      sim.run(200);
    }
    sim.lateOrderRate = 0;
    sim.run(20_000);
    for (int i = 0; i < 20; i++) {
      assertThat(queryJob(sim, "j" + i)).isEqualTo(new JobAnswer.Shown(JobPhase.COMPLETED));
    }
    assertThat(sim.violations).isEmpty();
  }

  private static void orderWave(PlanSimulation sim, String... servers) {
    List<String> machines = Stream.of(servers).map(s -> "m-" + s).toList();
    sim.post(new PlanEvent.WaveOrdered(new WaveOrder(1, machines, 20_000, sim.maxMaintained)));
  }

  @Test
  void waveMaintainsEachMachineWithoutEndingTasks() {
    PlanSimulation sim = new PlanSimulation(1);
    Stream.of("w1", "w2", "w3", "w4").forEach(id -> sim.addServer(id, 10_000));
    sim.electPlanner();
    sim.run(200);
    sim.submit("j", PlanSimulation.lastingStep(4, 1_000, 1));
    sim.submit("k", PlanSimulation.step(12, 1_000), PlanSimulation.step(12, 1_000, 0));
    sim.run(500);
    orderWave(sim, "w1", "w2", "w3");
    sim.run(20_000);
    assertThat(sim.maintainedMachines).containsExactly("m-w1", "m-w2", "m-w3");
    assertThat(sim.reportedWaves).containsExactly(1, true);
    assertThat(sim.violations).isEmpty();
    assertThat(activeRunsOf(sim, "j")).isEqualTo(4);
  }

  /** Guards against a wave that takes machines from a pool that needs them in a surge. */
  @Test
  void waveWithSpareTimeWaitsForEndOfSurge() {
    PlanSimulation sim = simulationWithPlanner("w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8");
    sim.weight = 100;
    sim.electPlanner();
    sim.run(500);
    for (int i = 0; i < 20; i++) {
      sim.submit("j" + i, PlanSimulation.step(20, 1_000));
    }
    sim.run(100);
    orderWave(sim, "w1", "w2");
    sim.run(500);
    assertThat(sim.effects.stream().filter(PlanTest::logsMachineEmptying)).isEmpty();
    sim.run(18_000);
    assertThat(sim.maintainedMachines).containsExactly("m-w1", "m-w2");
    assertThat(sim.violations).isEmpty();
  }

  private static boolean logsMachineEmptying(PlanEffect effect) {
    return effect instanceof PlanEffect.Note logEvent
        && logEvent.event().equals("machine-emptying");
  }

  @Test
  void nextPlannerCountsMachinesThatAreDown() {
    PlanSimulation sim = new PlanSimulation(1);
    List<String> ids = IntStream.range(0, 12).mapToObj(i -> "w" + i).toList();
    ids.forEach(id -> sim.addServer(id, 10_000));
    final PlanSimulation.Planner firstPlanner = sim.electPlanner();
    sim.run(200);
    orderWave(sim, ids.toArray(String[]::new));
    sim.run(100);
    assertThat(sim.maintainedMachines).hasSize(2);
    firstPlanner.active = false;
    sim.run(100);
    sim.electPlanner();
    orderWave(sim, ids.toArray(String[]::new));
    sim.run(30_000);
    assertThat(sim.violations).isEmpty();
    assertThat(sim.maintainedMachines).hasSize(12);
  }

  @Test
  void machineThatIsSwitchedOffIsMaintainedAtOnce() {
    PlanSimulation sim = new PlanSimulation(1);
    sim.addServer("w1", 10_000);
    sim.standbyMachines.add("m-off");
    sim.electPlanner();
    sim.run(200);
    orderWave(sim, "off");
    sim.run(2_000);
    assertThat(sim.maintainedMachines).containsExactly("m-off");
    assertThat(sim.reportedWaves).containsExactly(1, true);
  }

  @Test
  void waveContinuesUnderNextPlanner() {
    PlanSimulation sim = new PlanSimulation(1);
    Stream.of("w1", "w2", "w3", "w4").forEach(id -> sim.addServer(id, 10_000));
    final PlanSimulation.Planner firstPlanner = sim.electPlanner();
    sim.run(200);
    orderWave(sim, "w1", "w2", "w3");
    sim.run(900);
    firstPlanner.active = false;
    sim.electPlanner();
    orderWave(sim, "w1", "w2", "w3");
    sim.run(20_000);
    assertThat(sim.maintainedMachines).containsExactly("m-w1", "m-w2", "m-w3");
    assertThat(sim.reportedWaves).containsExactly(1, true);
  }

  @Test
  void accountAboveItsShareWaitsBehindOthers() {
    PlanSimulation sim = new PlanSimulation(1);
    sim.addServer("w1", 1_000);
    sim.electPlanner();
    sim.run(200);
    for (int i = 0; i < 30; i++) {
      sim.submitAs("b", "hot" + i, PlanSimulation.step(1, 1_000));
    }
    sim.run(100);
    sim.submit("mine", PlanSimulation.step(1, 1_000));
    sim.run(1_200);
    assertThat(queryJob(sim, "mine")).isEqualTo(new JobAnswer.Shown(JobPhase.COMPLETED));
  }

  @Test
  void lateStartedJobWaitsBehindJobsInTime() {
    PlanSimulation sim = new PlanSimulation(1);
    sim.addServer("w1", 1_000);
    sim.electPlanner();
    sim.run(200);
    sim.submit("slow", PlanSimulation.step(1, 1_000), PlanSimulation.step(5, 1_000, 0));
    sim.run(1_300);
    sim.submit("fresh", PlanSimulation.step(1, 1_000));
    sim.run(900);
    assertThat(queryJob(sim, "fresh")).isEqualTo(new JobAnswer.Shown(JobPhase.COMPLETED));
    sim.run(3_000);
    assertThat(queryJob(sim, "slow")).isEqualTo(new JobAnswer.Shown(JobPhase.COMPLETED));
  }

  @Test
  void lastingTaskOnUnreachableServerCountsAsUnavailable() {
    PlanSimulation sim = new PlanSimulation(1);
    Stream.of("w1", "w2", "w3").forEach(id -> sim.addServer(id, 10_000));
    sim.electPlanner();
    sim.run(200);
    sim.submit("j", PlanSimulation.lastingStep(2, 1_000, 1));
    sim.run(1_500);
    List<SimulatedServer> inUse =
        sim.servers.values().stream().filter(s -> !s.running.isEmpty()).toList();
    assertThat(inUse).hasSize(2);
    inUse.getFirst().reachable = false;
    sim.run(3_500);
    orderWave(sim, inUse.getLast().id);
    sim.run(1_000);
    assertThat(inUse.getLast().running).hasSize(1);
  }

  /**
   * Returns four lasting tasks, at most one of which may be unavailable, on a backend server each,
   * and free capacity for one more.
   */
  private static PlanSimulation lastingTasksOnSeparateServers() {
    PlanSimulation sim = simulationWithPlanner("w1", "w2", "w3", "w4", "w5");
    sim.submit("j", PlanSimulation.lastingStep(4, 1_000, 1));
    sim.run(1_500);
    assertThat(activeRunsOf(sim, "j")).isEqualTo(4);
    return sim;
  }

  private static List<SimulatedServer> serversInUse(PlanSimulation sim) {
    return sim.servers.values().stream().filter(s -> !s.running.isEmpty()).toList();
  }

  /**
   * Guards against a stop while another task of the step has lost its lease and no list has
   * reported it yet.
   */
  @Test
  void lastingTaskOnServerWithDelayedListsCountsAsUnavailable() {
    PlanSimulation sim = lastingTasksOnSeparateServers();
    List<SimulatedServer> inUse = serversInUse(sim);
    inUse.getFirst().renewalDelayMs = 10_000;
    sim.run(7_000);
    assertThat(activeRunsOf(sim, "j")).isEqualTo(3);
    orderWave(sim, inUse.getLast().id);
    sim.run(1_000);
    assertThat(inUse.getLast().running).hasSize(1);
  }

  /** Guards against a stop that was decided before another task of the step became unavailable. */
  @Test
  void stopAwaitingStoreIsNotSentOnceAnotherTaskIsUnavailable() {
    PlanSimulation sim = lastingTasksOnSeparateServers();
    List<SimulatedServer> inUse = serversInUse(sim);
    sim.storeAvailable = false;
    orderWave(sim, inUse.getLast().id);
    sim.run(200);
    inUse.getFirst().crash();
    sim.run(300);
    sim.storeAvailable = true;
    sim.run(30);
    assertThat(inUse.getLast().running).hasSize(1);
    sim.run(8_000 + LeaseBound.LEASE_MS);
    assertThat(activeRunsOf(sim, "j")).isEqualTo(4);
    assertThat(inUse.getLast().running).isEmpty();
  }

  /** Guards against stops of lasting tasks that run though their starts were not answered. */
  @Test
  void lastingTasksWithUnansweredStartsAreNotStopped() {
    PlanSimulation sim = simulationWithPlanner("w1", "w2", "w3", "w4");
    for (SimulatedServer server : sim.servers.values()) {
      server.dropsStartAnswers = true;
      server.renewalDelayMs = 4_000;
    }
    sim.submit("j", PlanSimulation.lastingStep(4, 1_000, 1));
    sim.run(200);
    for (int i = 0; i < 100; i++) {
      assertThat(activeRunsOf(sim, "j")).isEqualTo(4);
      sim.run(50);
    }
    assertThat(sim.violations).isEmpty();
  }

  @Test
  void listRequestedInMillisecondOfStartAnswerReleasesNothing() {
    PlanSimulation sim = simulationWithPlanner("w1");
    final SimulatedServer server = sim.requireServer("w1");
    sim.submit("j", PlanSimulation.step(1, 1_000));
    sim.run(100);
    assertThat(server.running).hasSize(1);
    PlanEffect.Start start =
        sim.effects.stream()
            .filter(e -> e instanceof PlanEffect.Start)
            .map(e -> (PlanEffect.Start) e)
            .findFirst()
            .orElseThrow();
    LeaseRenewalResult emptyList =
        new LeaseRenewalResult.Listed(
            server.startTimeMs, server.steadyClockMs(sim.now().steadyMs()), List.of(), List.of());
    sim.post(
        new PlanEvent.Started(
            "w1",
            server.startTimeMs,
            start.task(),
            start.run(),
            new OrderResult.Obeyed(server.steadyClockMs(sim.now().steadyMs()))));
    sim.post(new PlanEvent.Held("w1", server.startTimeMs, 0, sim.now().steadyMs(), emptyList));
    sim.run(1_000);
    assertThat(sim.effects.stream().filter(e -> e instanceof PlanEffect.Start).count())
        .isEqualTo(1);
    assertThat(sim.violations).isEmpty();
  }

  @Test
  void restartedServerRetainsNoTaskAndItsCompletionsCount() {
    PlanSimulation sim = simulationWithPlanner("w1");
    sim.submit("j", PlanSimulation.step(3, 1_000));
    sim.run(1_000);
    sim.submit("k", PlanSimulation.lastingStep(2, 1_000, 0));
    sim.run(1_000);
    sim.requireServer("w1").crash();
    sim.addServer("w1", 10_000);
    sim.submit("l", PlanSimulation.step(3, 1_000));
    sim.run(4_000);
    assertThat(queryJob(sim, "l")).isEqualTo(new JobAnswer.Shown(JobPhase.COMPLETED));
    assertThat(activeRunsOf(sim, "k")).isEqualTo(2);
    assertThat(sim.violations).isEmpty();
  }

  @Test
  void unresponsiveServerIsUsedAgainOnceItAnswers() {
    PlanSimulation sim = simulationWithPlanner("w1");
    final SimulatedServer server = sim.requireServer("w1");
    sim.submit("j", PlanSimulation.step(1, 1_000));
    sim.run(5);
    server.reachable = false;
    sim.run(1_500);
    sim.call(new JobCall.Cancel("j", PlanSimulation.QUEUE));
    server.reachable = true;
    sim.run(100);
    sim.submit("k", PlanSimulation.step(1, 1_000));
    sim.run(1_500);
    assertThat(queryJob(sim, "k")).isEqualTo(new JobAnswer.Shown(JobPhase.COMPLETED));
  }

  @Test
  void stopWhoseConnectionIsRefusedOnceIsSentAgain() {
    PlanSimulation sim = simulationWithPlanner("w1");
    final SimulatedServer server = sim.requireServer("w1");
    sim.submit("j", PlanSimulation.lastingStep(1, 1_000, 0));
    sim.run(1_000);
    sim.call(new JobCall.Cancel("j", PlanSimulation.QUEUE));
    while (sim.effects.stream().noneMatch(e -> e instanceof PlanEffect.Stop)) {
      sim.run(1);
    }
    server.up = false;
    sim.run(5);
    server.up = true;
    sim.run(2_000);
    assertThat(server.running).isEmpty();
    assertThat(Objects.requireNonNull(sim.planner).plan.openJobs()).isEqualTo(0);
  }

  /**
   * Guards against a stop that a new planner repeats though others of the step have become
   * unavailable since.
   */
  @Test
  void nextPlannerDecidesAnewWhetherLastingTaskIsStopped() {
    PlanSimulation sim = lastingTasksOnSeparateServers();
    List<SimulatedServer> inUse = serversInUse(sim);
    final PlanSimulation.Planner firstPlanner = Objects.requireNonNull(sim.planner);
    inUse.getLast().reachable = false;
    orderWave(sim, inUse.getLast().id);
    sim.run(100);
    firstPlanner.active = false;
    inUse.getFirst().crash();
    inUse.getLast().reachable = true;
    sim.electPlanner();
    sim.run(600);
    assertThat(inUse.getLast().running).hasSize(1);
  }

  /**
   * Guards against a job that stays on the service of a queue which has moved to another service
   * before the planner changed.
   */
  @Test
  void nextPlannerUsesServiceThatConfigurationNames() {
    PlanSimulation sim = new PlanSimulation(1);
    sim.addServer("t1", PlanSimulation.OTHER_SERVICE, 10_000);
    sim.electPlanner();
    sim.run(200);
    sim.submit("j", PlanSimulation.step(1, 1_000));
    sim.run(200);
    Queue moved =
        new Queue(
            PlanSimulation.QUEUE,
            "h",
            "/q/",
            PlanSimulation.OTHER_SERVICE,
            0,
            3,
            2,
            600,
            false,
            false);
    Account account = new Account(PlanSimulation.ACCOUNT, Set.of("key"), 1, Resources.NONE);
    sim.catalogSource = () -> Catalog.of(2, List.of(moved), List.of(account), Set.of());
    sim.electPlanner();
    sim.run(1_500);
    assertThat(queryJob(sim, "j")).isEqualTo(new JobAnswer.Shown(JobPhase.COMPLETED));
  }
}
