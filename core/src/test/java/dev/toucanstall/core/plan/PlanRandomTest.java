package dev.toucanstall.core.plan;

import static com.google.common.truth.Truth.assertWithMessage;

import dev.toucanstall.core.job.JobAnswer;
import dev.toucanstall.core.job.JobCall;
import dev.toucanstall.core.job.JobPhase;
import dev.toucanstall.core.job.Resources;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Injects random faults by seed into planners, store and backend servers; the invariants are
 * checked at each start of a run.
 */
final class PlanRandomTest {

  /** Number of seeds. */
  private static final int RUNS = Integer.getInteger("random.runs", 25);

  /** First seed; the others follow it. */
  private static final long FIRST_SEED = Long.getLong("random.seed", 1);

  /** Steps in which a fault may be injected. */
  private static final int STEPS = 120;

  @Test
  void faultsBreakNoPromise() {
    for (long seed = FIRST_SEED; seed < FIRST_SEED + RUNS; seed++) {
      run(seed);
    }
  }

  /**
   * Runs the scenario of a seed: no invariant may be violated, and each accepted job must complete
   * after the last fault.
   */
  private static void run(long seed) {
    PlanWorld world = new PlanWorld(seed);
    world.quota = new Resources(14_000, 0, 0);
    world.weight = 10;
    world.standby.addAll(List.of("m-off1", "m-off2"));
    for (int i = 0; i < 4; i++) {
      world.server("w" + i, 6_000);
    }
    world.elect();
    List<String> jobs = new ArrayList<>();
    List<Long> accepted = new ArrayList<>();
    for (int i = 0; i < STEPS; i++) {
      fault(world);
      String job = "j" + seed + "-" + i;
      jobs.add(job);
      accepted.add(
          world.submit(
              job,
              PlanWorld.step(1 + world.random.nextInt(4), 1_000),
              PlanWorld.step(1 + world.random.nextInt(3), 1_500, 0)));
      world.run(50 + world.random.nextInt(300));
    }
    calm(world);
    world.run(60_000);
    for (int i = 0; i < jobs.size(); i++) {
      if (new JobAnswer.Accepted().equals(world.answers.get(accepted.get(i)))) {
        long ticket = world.call(new JobCall.Show(jobs.get(i), PlanWorld.QUEUE));
        world.run(100);
        assertWithMessage("seed %s, job %s", seed, jobs.get(i))
            .that(world.answers.get(ticket))
            .isEqualTo(new JobAnswer.Shown(JobPhase.COMPLETED));
      }
    }
    assertWithMessage("seed %s", seed).that(world.broken).isEmpty();
  }

  /**
   * Injects a random fault, or ends all, or does nothing; then makes sure that there is a planner
   * if the store is available.
   */
  private static void fault(PlanWorld world) {
    FakeServer server = world.servers.get("w" + world.random.nextInt(4));
    switch (world.random.nextInt(12)) {
      case 0 -> world.lost = 0.2;
      case 1 -> world.late = 0.1;
      case 2 -> calm(world);
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
      case 6 -> {
        if (server != null) {
          server.reachable = !server.reachable;
        }
      }
      case 7 -> {
        if (server != null) {
          server.crash();
          world.server(server.id, 6_000);
        }
      }
      default -> {}
    }
    if (world.planner == null || (!world.planner.alive && world.storeUp)) {
      world.elect();
    }
  }

  /** Ends all faults. */
  private static void calm(PlanWorld world) {
    world.lost = 0;
    world.late = 0;
    world.storeUp = true;
    world.servers.values().forEach(s -> s.reachable = true);
    if (world.planner == null || !world.planner.alive) {
      world.elect();
    }
  }
}
