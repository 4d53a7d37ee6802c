package dev.toucanstall.core.plan;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import dev.toucanstall.core.job.JobAnswer;
import dev.toucanstall.core.job.JobCall;
import dev.toucanstall.core.job.JobPhase;
import dev.toucanstall.core.job.JobRecord;
import dev.toucanstall.core.job.JobRecord.TaskProgress;
import dev.toucanstall.core.job.RecordSize;
import dev.toucanstall.core.model.StoreLimits;
import java.util.List;
import java.util.Objects;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Tests jobs whose progress is larger than a record of the store, or than one append. */
final class LargeJobTest {

  private static final int TASKS = 1_000;
  private static final StoreLimits SMALL_LIMITS = new StoreLimits(40_000, 90_000);

  private static PlanSimulation simulationWithPlanner(StoreLimits limits) {
    PlanSimulation sim = new PlanSimulation(1);
    sim.storeLimits = limits;
    IntStream.range(0, 4).forEach(i -> sim.addServer("w" + i, 200_000));
    sim.run(PlanSimulation.LONG_UPTIME_MS);
    sim.electPlanner();
    sim.run(200);
    return sim;
  }

  private static JobAnswer phaseOf(PlanSimulation sim, String job) {
    final long callId = sim.call(new JobCall.Show(job, PlanSimulation.QUEUE));
    sim.run(100);
    return sim.answers.getOrDefault(callId, new JobAnswer.Uncertain());
  }

  private static JobAnswer shown(JobPhase phase) {
    return new JobAnswer.Shown(phase);
  }

  /** Guards against a job whose record is too large and stops all appends. */
  @Test
  void largeJobAndSmallOnesBehindItComplete() {
    PlanSimulation sim = simulationWithPlanner(StoreLimits.DEFAULT);
    sim.submit("large", PlanSimulation.step(8, 10), PlanSimulation.step(18_000, 20, 0));
    sim.submit("small", PlanSimulation.step(2, 1_000));
    sim.run(15_000);
    assertThat(phaseOf(sim, "large")).isEqualTo(shown(JobPhase.COMPLETED));
    assertThat(phaseOf(sim, "small")).isEqualTo(shown(JobPhase.COMPLETED));
    assertThat(sim.refusedAppends).isEqualTo(0);
    assertThat(sim.violations).isEmpty();
    assertThat(sim.stored.keySet()).containsExactly("p/large", "p/small");
  }

  /**
   * Guards against tasks that run twice because a planner was replaced while the progress of a job
   * was stored in several appends.
   */
  @Test
  void planMayChangeBetweenTheAppendsOfOneProgress() {
    for (int seed = 0; seed < 30; seed++) {
      PlanSimulation sim = simulationWithPlanner(SMALL_LIMITS);
      sim.taskMs = 100 + 10 * seed;
      sim.submit("j", PlanSimulation.step(TASKS, 20), PlanSimulation.step(TASKS, 20, 0));
      for (int i = 0; i < 6; i++) {
        sim.run(37 + 11 * seed + 53 * i);
        Objects.requireNonNull(sim.planner).active = false;
        sim.electPlanner();
      }
      sim.run(14_000);
      assertWithMessage("violations, seed %s", seed).that(sim.violations).isEmpty();
      assertWithMessage("job, seed %s", seed)
          .that(phaseOf(sim, "j"))
          .isEqualTo(shown(JobPhase.COMPLETED));
      assertThat(sim.refusedAppends).isEqualTo(0);
      sim.run(300);
      assertThat(sim.stored.keySet()).containsExactly("p/j");
    }
  }

  /**
   * Guards against losing tasks of a job whose progress an earlier version stored as one record.
   */
  @Test
  void progressThatEarlierVersionStoredAsOneRecordIsRead() {
    PlanSimulation sim = simulationWithPlanner(StoreLimits.DEFAULT);
    sim.taskMs = 1_500;
    sim.submit("j", PlanSimulation.step(TASKS, 20));
    sim.run(500);
    assertThat(sim.activeRuns.values().stream().mapToInt(n -> n).sum()).isEqualTo(TASKS);
    Objects.requireNonNull(sim.planner).active = false;
    List<TaskProgress> all =
        sim.stored.values().stream()
            .flatMap(
                r ->
                    switch (r) {
                      case JobRecord.Progress p -> p.tasks().stream();
                      case JobRecord.ProgressPart p -> p.tasks().stream();
                      default -> Stream.<TaskProgress>empty();
                    })
            .toList();
    assertThat(all).hasSize(TASKS);
    sim.stored.keySet().removeIf(key -> key.startsWith("p/j/"));
    sim.stored.put("p/j", new JobRecord.Progress("j", JobPhase.RUNNING, 0, all));
    sim.electPlanner();
    sim.run(300);
    Objects.requireNonNull(sim.planner).active = false;
    sim.electPlanner();
    sim.run(6_000);
    assertThat(sim.violations).isEmpty();
    assertThat(phaseOf(sim, "j")).isEqualTo(shown(JobPhase.COMPLETED));
  }

  /** Guards against an append that is repeated for ever because one of its records is too large. */
  @Test
  void recordThatTheStoreNeverTakesEndsItsJobOnly() {
    PlanSimulation sim = simulationWithPlanner(StoreLimits.DEFAULT);
    sim.refusesRecord = r -> r instanceof JobRecord.Progress p && p.job().equals("bad");
    long refusedCall = sim.submit("bad", PlanSimulation.step(2, 1_000));
    long acceptedCall = sim.submit("good", PlanSimulation.step(2, 1_000));
    sim.run(3_000);
    assertThat(sim.answers.get(refusedCall)).isEqualTo(new JobAnswer.Accepted());
    assertThat(sim.answers.get(acceptedCall)).isEqualTo(new JobAnswer.Accepted());
    assertThat(phaseOf(sim, "good")).isEqualTo(shown(JobPhase.COMPLETED));
    assertThat(phaseOf(sim, "bad")).isEqualTo(shown(JobPhase.FAILED));
    assertThat(sim.lastStartMs.keySet().stream().noneMatch(t -> t.job().equals("bad"))).isTrue();
  }

  /** Guards against accepting a job that the store never takes. */
  @Test
  void submissionThatTheStoreNeverTakesIsRefused() {
    PlanSimulation sim = simulationWithPlanner(StoreLimits.DEFAULT);
    sim.refusesRecord = r -> r instanceof JobRecord.Submitted s && s.job().equals("bad");
    long refusedCall = sim.submit("bad", PlanSimulation.step(2, 1_000));
    long acceptedCall = sim.submit("good", PlanSimulation.step(2, 1_000));
    sim.run(3_000);
    assertThat(sim.answers.get(refusedCall)).isInstanceOf(JobAnswer.TooLarge.class);
    assertThat(sim.answers.get(acceptedCall)).isEqualTo(new JobAnswer.Accepted());
    assertThat(phaseOf(sim, "good")).isEqualTo(shown(JobPhase.COMPLETED));
    assertThat(phaseOf(sim, "bad")).isEqualTo(new JobAnswer.Absent());
  }

  /** Guards against more open orders to move machines than their record may hold. */
  @Test
  void recordOfOpenMovesIsBounded() {
    MachineMoves moves = new MachineMoves();
    int recordBytes = 100_000;
    while (moves.hasRoom(recordBytes)) {
      String name = "machine-" + moves.open.size();
      moves.open.put(name, new MachineMoves.Move(name, "service", "server-" + name));
    }
    assertThat(RecordSize.maxBytes(moves.openMovesRecord())).isAtMost(recordBytes);
    assertThat(moves.open.size()).isAtLeast(200);
  }
}
