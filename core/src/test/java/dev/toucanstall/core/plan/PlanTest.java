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
import dev.toucanstall.core.job.WaveOrder;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Each test is named for the pattern of load or failure that it brings about. */
final class PlanTest {

  /** A world with backend servers of ten cores and a planner that knows them. */
  private static PlanWorld elected(String... servers) {
    PlanWorld world = new PlanWorld(1);
    Stream.of(servers).forEach(id -> world.server(id, 10_000));
    world.elect();
    world.run(200);
    return world;
  }

  private static JobAnswer show(PlanWorld world, String job) {
    final long ticket = world.call(new JobCall.Show(job, PlanWorld.QUEUE));
    world.run(100);
    return world.answers.getOrDefault(ticket, new JobAnswer.Uncertain());
  }

  private static long runningOf(PlanWorld world, String job) {
    return world.servers.values().stream()
        .filter(s -> s.up)
        .flatMap(s -> s.running.keySet().stream())
        .filter(t -> t.job().equals(job))
        .count();
  }

  @Test
  void calmJobRunsItsStepsInOrder() {
    PlanWorld world = elected("w1", "w2");
    final long ticket = world.submit("j", PlanWorld.step(4, 1_000), PlanWorld.step(3, 1_000, 0));
    world.run(2_000);
    assertThat(world.answers.get(ticket)).isEqualTo(new JobAnswer.Accepted());
    assertThat(show(world, "j")).isEqualTo(new JobAnswer.Shown(JobPhase.COMPLETED));
    assertThat(world.done).hasSize(7);
    assertThat(world.broken).isEmpty();
  }

  /** Guards against a planner whose backlog no line tells of. */
  @Test
  void loadCountsJobsServersAndTasksByPhase() {
    PlanWorld world = elected("w1", "w2");
    world.submit("j", PlanWorld.step(4, 1_000), PlanWorld.step(3, 1_000, 0));
    world.run(300);
    PlanLoad load = Objects.requireNonNull(world.planner).plan.load();
    assertThat(load).isEqualTo(new PlanLoad(load.passes(), 1, 2, 1, 3, 0, 4, 0));
    assertThat(load.passes()).isAtLeast(1);
  }

  @Test
  void startGoesOutOnlyOnceItsIntentIsStored() {
    PlanWorld world = elected("w1");
    world.storeUp = false;
    final long ticket = world.submit("j", PlanWorld.step(1, 1_000));
    world.run(400);
    assertThat(world.answers).doesNotContainKey(ticket);
    assertThat(world.seen.stream().anyMatch(e -> e instanceof PlanEffect.Start)).isFalse();
  }

  @Test
  void submissionIsRefusedAtOnceWhileTheStoreIsOut() {
    PlanWorld world = elected();
    world.storeUp = false;
    world.submit("first", PlanWorld.step(1, 1_000));
    world.run(100);
    long waiting = world.submit("second", PlanWorld.step(1, 1_000));
    world.run(2_500);
    assertThat(world.answers.get(waiting)).isInstanceOf(JobAnswer.Refused.class);
    long later = world.submit("third", PlanWorld.step(1, 1_000));
    assertThat(world.answers.get(later)).isInstanceOf(JobAnswer.Refused.class);
    world.storeUp = true;
    world.run(2_000);
    assertThat(show(world, "second")).isEqualTo(new JobAnswer.Absent());
  }

  @Test
  void lostAnswerOfTheStoreStoresOneJob() {
    PlanWorld world = new PlanWorld(3);
    world.server("w1", 10_000);
    world.elect();
    world.run(200);
    world.lost = 1;
    final long ticket = world.submit("j", PlanWorld.step(1, 1_000));
    world.run(50);
    world.lost = 0;
    world.run(3_000);
    assertThat(world.answers.get(ticket)).isEqualTo(new JobAnswer.Accepted());
    assertThat(show(world, "j")).isEqualTo(new JobAnswer.Shown(JobPhase.COMPLETED));
    assertThat(world.broken).isEmpty();
  }

  @Test
  void queueGoesOnPastTasksWithoutRoom() {
    PlanWorld world = elected("w1");
    for (int i = 0; i < 20; i++) {
      world.submit("apart" + i, PlanWorld.lasting(2, 10, 1));
    }
    world.submit("short", PlanWorld.step(2, 1_000));
    world.run(3_000);
    assertThat(show(world, "short")).isEqualTo(new JobAnswer.Shown(JobPhase.COMPLETED));
  }

  @Test
  void silentServerLosesItsTasksOnceItsLeasesAreOut() {
    PlanWorld world = elected("w1");
    final FakeServer dark = world.get("w1");
    world.submit("j", PlanWorld.lasting(3, 1_000, 0));
    world.run(1_000);
    assertThat(dark.running).hasSize(3);
    dark.reachable = false;
    world.server("w2", 10_000);
    world.run(10_000);
    assertThat(world.get("w2").running).hasSize(3);
    assertThat(world.broken).isEmpty();
  }

  @Test
  void refusedConnectionFreesTasksAtOnce() {
    PlanWorld world = elected("w1");
    final FakeServer crashed = world.get("w1");
    world.submit("j", PlanWorld.lasting(3, 1_000, 0));
    world.run(1_000);
    crashed.crash();
    world.server("w2", 10_000);
    world.run(1_500);
    assertThat(runningOf(world, "j")).isEqualTo(3);
    assertThat(world.broken).isEmpty();
  }

  @Test
  void serverThatEndedDuringChangeOfPlannersKeepsNoTask() {
    PlanWorld world = new PlanWorld(1);
    final FakeServer gone = world.server("w1", 10_000);
    final PlanWorld.Planner first = world.elect();
    world.run(200);
    world.submit("j", PlanWorld.lasting(3, 1_000, 0));
    world.run(1_000);
    first.alive = false;
    gone.reachable = false;
    world.run(1_000);
    gone.crash();
    world.servers.remove("w1");
    world.server("w2", 10_000);
    world.elect();
    world.run(12_000);
    assertThat(world.get("w2").running).hasSize(3);
    assertThat(world.broken).isEmpty();
  }

  /** Lasting tasks waited as if the predecessor could still renew a lease that it can't. */
  @Test
  void serverThatAnsweredTheNextPlannerKeepsItsTasksForOneLeaseOnly() {
    PlanWorld world = new PlanWorld(1);
    final FakeServer dark = world.server("w1", 10_000);
    final PlanWorld.Planner first = world.elect();
    world.run(200);
    world.submit("j", PlanWorld.lasting(3, 1_000, 0));
    world.run(1_000);
    first.alive = false;
    world.elect();
    world.run(300);
    dark.crash();
    dark.reachable = false;
    world.server("w2", 10_000);
    world.run(7_500);
    assertThat(world.get("w2").running).hasSize(3);
    assertThat(world.broken).isEmpty();
  }

  /** A run whose end was listed late was done once more, though its next start was not sent yet. */
  @Test
  void endThatIsListedBeforeTheNextStartIsSentEndsTheTask() {
    PlanWorld world = elected("w1");
    final FakeServer silent = world.get("w1");
    world.submit("j", PlanWorld.step(1, 1_000));
    world.run(100);
    assertThat(silent.running).hasSize(1);
    silent.reachable = false;
    world.server("w2", 10_000);
    final Plan plan = Objects.requireNonNull(world.planner).plan;
    final Server seen = Objects.requireNonNull(plan.servers.get("w1"));
    while (world.now().steadyMs() < seen.leasesExpiredMs - 20) {
      world.run(10);
    }
    world.lost = 1;
    final Job job = Objects.requireNonNull(plan.jobs.get("j"));
    while (job.tasks().noneMatch(t -> t.run == 2)) {
      world.run(1);
    }
    silent.reachable = true;
    world.run(500);
    world.lost = 0;
    world.run(4_000);
    assertThat(show(world, "j")).isEqualTo(new JobAnswer.Shown(JobPhase.COMPLETED));
    assertThat(world.seen.stream().filter(e -> e instanceof PlanEffect.Start).count()).isEqualTo(1);
    assertThat(world.broken).isEmpty();
  }

  @Test
  void newPlannerGoesOnWithWhatRuns() {
    PlanWorld world = new PlanWorld(1);
    final FakeServer server = world.server("w1", 10_000);
    final PlanWorld.Planner first = world.elect();
    world.run(200);
    world.submit("j", PlanWorld.lasting(3, 1_000, 0));
    world.run(1_000);
    first.alive = false;
    world.run(2_000);
    world.elect();
    world.run(10_000);
    assertThat(server.running.values().stream().allMatch(r -> r.run() == 1)).isTrue();
    assertThat(server.running).hasSize(3);
    assertThat(world.broken).isEmpty();
  }

  @Test
  void oldPlannerThatWakesOrdersNothing() {
    PlanWorld world = new PlanWorld(1);
    world.server("w1", 10_000);
    final PlanWorld.Planner first = world.elect();
    world.run(200);
    world.submit("j", PlanWorld.step(3, 1_000));
    world.run(20);
    first.alive = false;
    world.run(3_000);
    world.elect();
    world.run(500);
    first.alive = true;
    first.tell(
        new PlanEvent.Called(
            99,
            new JobCall.Submit(
                "k",
                PlanWorld.QUEUE,
                PlanWorld.ACCOUNT,
                new JobSpec("", List.of(PlanWorld.step(1, 1)), 1, 0, 0))));
    world.run(3_000);
    assertThat(first.alive).isFalse();
    assertThat(show(world, "k")).isEqualTo(new JobAnswer.Absent());
    assertThat(world.broken).isEmpty();
  }

  @Test
  void cancelledJobIsGoneAndStaysCancelledForTheNextPlanner() {
    PlanWorld world = new PlanWorld(1);
    final FakeServer server = world.server("w1", 10_000);
    final PlanWorld.Planner first = world.elect();
    world.run(200);
    world.submit("j", PlanWorld.lasting(3, 1_000, 0));
    world.run(1_000);
    final long ticket = world.call(new JobCall.Cancel("j", PlanWorld.QUEUE));
    world.run(500);
    assertThat(world.answers.get(ticket)).isEqualTo(new JobAnswer.Cancelled());
    assertThat(server.running).isEmpty();
    first.alive = false;
    world.elect();
    world.run(1_000);
    assertThat(show(world, "j")).isEqualTo(new JobAnswer.Shown(JobPhase.CANCELLED));
    assertThat(server.running).isEmpty();
  }

  @Test
  void quotaOfAnAccountHoldsAcrossServers() {
    PlanWorld world = new PlanWorld(1);
    world.quota = new Resources(4_000, 0, 0);
    world.server("w1", 10_000);
    world.server("w2", 10_000);
    world.elect();
    world.run(200);
    world.submit("j", PlanWorld.step(12, 1_000));
    world.run(3_000);
    assertThat(show(world, "j")).isEqualTo(new JobAnswer.Shown(JobPhase.COMPLETED));
    assertThat(world.broken).isEmpty();
  }

  @Test
  void lateOrdersNeverMakeTwoRuns() {
    PlanWorld world = new PlanWorld(5);
    world.server("w1", 10_000);
    world.server("w2", 10_000);
    world.elect();
    world.run(200);
    world.late = 0.4;
    for (int i = 0; i < 20; i++) {
      world.submit("j" + i, PlanWorld.step(3, 500), PlanWorld.step(2, 500, 0));
      world.run(200);
    }
    world.late = 0;
    world.run(20_000);
    for (int i = 0; i < 20; i++) {
      assertThat(show(world, "j" + i)).isEqualTo(new JobAnswer.Shown(JobPhase.COMPLETED));
    }
    assertThat(world.broken).isEmpty();
  }

  private static void order(PlanWorld world, String... servers) {
    List<String> machines = Stream.of(servers).map(s -> "m-" + s).toList();
    world.tell(new PlanEvent.WaveOrdered(new WaveOrder(1, machines, 20_000, world.parallel)));
  }

  @Test
  void waveMaintainsEachMachineWithoutEndingTasks() {
    PlanWorld world = new PlanWorld(1);
    Stream.of("w1", "w2", "w3", "w4").forEach(id -> world.server(id, 10_000));
    world.elect();
    world.run(200);
    world.submit("j", PlanWorld.lasting(4, 1_000, 1));
    world.submit("k", PlanWorld.step(12, 1_000), PlanWorld.step(12, 1_000, 0));
    world.run(500);
    order(world, "w1", "w2", "w3");
    world.run(20_000);
    assertThat(world.maintained).containsExactly("m-w1", "m-w2", "m-w3");
    assertThat(world.wavesTold).containsExactly(1, true);
    assertThat(world.broken).isEmpty();
    assertThat(runningOf(world, "j")).isEqualTo(4);
  }

  /** Guards against a wave that takes machines from a pool that is short of them in a surge. */
  @Test
  void waveThatIsNotLateWaitsForTheSurge() {
    PlanWorld world = elected("w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8");
    world.weight = 100;
    world.elect();
    world.run(500);
    for (int i = 0; i < 20; i++) {
      world.submit("j" + i, PlanWorld.step(20, 1_000));
    }
    world.run(100);
    order(world, "w1", "w2");
    world.run(500);
    assertThat(world.seen.stream().filter(PlanTest::isEmptying)).isEmpty();
    world.run(18_000);
    assertThat(world.maintained).containsExactly("m-w1", "m-w2");
    assertThat(world.broken).isEmpty();
  }

  private static boolean isEmptying(PlanEffect effect) {
    return effect instanceof PlanEffect.Note note && note.event().equals("machine-emptying");
  }

  @Test
  void nextPlannerCountsMachinesThatAreDown() {
    PlanWorld world = new PlanWorld(1);
    List<String> ids = IntStream.range(0, 12).mapToObj(i -> "w" + i).toList();
    ids.forEach(id -> world.server(id, 10_000));
    final PlanWorld.Planner first = world.elect();
    world.run(200);
    order(world, ids.toArray(String[]::new));
    world.run(100);
    assertThat(world.maintained).hasSize(2);
    first.alive = false;
    world.run(100);
    world.elect();
    order(world, ids.toArray(String[]::new));
    world.run(30_000);
    assertThat(world.broken).isEmpty();
    assertThat(world.maintained).hasSize(12);
  }

  @Test
  void machineThatIsSwitchedOffIsMaintainedAtOnce() {
    PlanWorld world = new PlanWorld(1);
    world.server("w1", 10_000);
    world.standby.add("m-off");
    world.elect();
    world.run(200);
    order(world, "off");
    world.run(2_000);
    assertThat(world.maintained).containsExactly("m-off");
    assertThat(world.wavesTold).containsExactly(1, true);
  }

  @Test
  void waveGoesOnUnderTheNextPlanner() {
    PlanWorld world = new PlanWorld(1);
    Stream.of("w1", "w2", "w3", "w4").forEach(id -> world.server(id, 10_000));
    final PlanWorld.Planner first = world.elect();
    world.run(200);
    order(world, "w1", "w2", "w3");
    world.run(900);
    first.alive = false;
    world.elect();
    order(world, "w1", "w2", "w3");
    world.run(20_000);
    assertThat(world.maintained).containsExactly("m-w1", "m-w2", "m-w3");
    assertThat(world.wavesTold).containsExactly(1, true);
  }

  @Test
  void accountThatSendsManyTimesItsShareWaitsBehindTheOthers() {
    PlanWorld world = new PlanWorld(1);
    world.server("w1", 1_000);
    world.elect();
    world.run(200);
    for (int i = 0; i < 30; i++) {
      world.submitAs("b", "hot" + i, PlanWorld.step(1, 1_000));
    }
    world.run(100);
    world.submit("mine", PlanWorld.step(1, 1_000));
    world.run(1_200);
    assertThat(show(world, "mine")).isEqualTo(new JobAnswer.Shown(JobPhase.COMPLETED));
  }

  @Test
  void startedJobThatIsLateWaitsBehindThoseThatAreNot() {
    PlanWorld world = new PlanWorld(1);
    world.server("w1", 1_000);
    world.elect();
    world.run(200);
    world.submit("slow", PlanWorld.step(1, 1_000), PlanWorld.step(5, 1_000, 0));
    world.run(1_300);
    world.submit("fresh", PlanWorld.step(1, 1_000));
    world.run(900);
    assertThat(show(world, "fresh")).isEqualTo(new JobAnswer.Shown(JobPhase.COMPLETED));
    world.run(3_000);
    assertThat(show(world, "slow")).isEqualTo(new JobAnswer.Shown(JobPhase.COMPLETED));
  }

  @Test
  void lastingTaskOnDarkServerCountsAsAway() {
    PlanWorld world = new PlanWorld(1);
    Stream.of("w1", "w2", "w3").forEach(id -> world.server(id, 10_000));
    world.elect();
    world.run(200);
    world.submit("j", PlanWorld.lasting(2, 1_000, 1));
    world.run(1_500);
    List<FakeServer> used =
        world.servers.values().stream().filter(s -> !s.running.isEmpty()).toList();
    assertThat(used).hasSize(2);
    used.getFirst().reachable = false;
    world.run(3_500);
    order(world, used.getLast().id);
    world.run(1_000);
    assertThat(used.getLast().running).hasSize(1);
  }

  /** Four lasting tasks on a backend server each, one of which may miss, and room for another. */
  private static PlanWorld lastingTasksApart() {
    PlanWorld world = elected("w1", "w2", "w3", "w4", "w5");
    world.submit("j", PlanWorld.lasting(4, 1_000, 1));
    world.run(1_500);
    assertThat(runningOf(world, "j")).isEqualTo(4);
    return world;
  }

  private static List<FakeServer> used(PlanWorld world) {
    return world.servers.values().stream().filter(s -> !s.running.isEmpty()).toList();
  }

  /** Guards against a stop while a lease that lapsed has not been heard of. */
  @Test
  void lastingTaskOnServerWithOldListsCountsAsAway() {
    PlanWorld world = lastingTasksApart();
    List<FakeServer> used = used(world);
    used.getFirst().listsLateMs = 10_000;
    world.run(7_000);
    assertThat(runningOf(world, "j")).isEqualTo(3);
    order(world, used.getLast().id);
    world.run(1_000);
    assertThat(used.getLast().running).hasSize(1);
  }

  /** Guards against a stop that was decided before another task of its step went away. */
  @Test
  void stopThatWaitsForTheStoreIsNotSentOnceAnotherTaskIsAway() {
    PlanWorld world = lastingTasksApart();
    List<FakeServer> used = used(world);
    world.storeUp = false;
    order(world, used.getLast().id);
    world.run(200);
    used.getFirst().crash();
    world.run(300);
    world.storeUp = true;
    world.run(30);
    assertThat(used.getLast().running).hasSize(1);
    world.run(8_000);
    assertThat(runningOf(world, "j")).isEqualTo(4);
    assertThat(used.getLast().running).isEmpty();
  }

  /** Guards against the end of lasting tasks that work, though no start of theirs was answered. */
  @Test
  void lastingTasksWhoseStartsAreNotAnsweredAreNotStoppedTogether() {
    PlanWorld world = elected("w1", "w2", "w3", "w4");
    for (FakeServer server : world.servers.values()) {
      server.mute = true;
      server.listsLateMs = 4_000;
    }
    world.submit("j", PlanWorld.lasting(4, 1_000, 1));
    world.run(200);
    for (int i = 0; i < 100; i++) {
      assertThat(runningOf(world, "j")).isEqualTo(4);
      world.run(50);
    }
    assertThat(world.broken).isEmpty();
  }

  @Test
  void listAskedForInTheMillisecondOfTheAnswerToTheStartFreesNothing() {
    PlanWorld world = elected("w1");
    final FakeServer server = world.get("w1");
    world.submit("j", PlanWorld.step(1, 1_000));
    world.run(100);
    assertThat(server.running).hasSize(1);
    PlanEffect.Start start =
        world.seen.stream()
            .filter(e -> e instanceof PlanEffect.Start)
            .map(e -> (PlanEffect.Start) e)
            .findFirst()
            .orElseThrow();
    LeaseRenewalResult withoutTheRun =
        new LeaseRenewalResult.Listed(
            server.bornMs, server.clock(world.now().steadyMs()), List.of(), List.of());
    world.tell(
        new PlanEvent.Started(
            "w1",
            server.bornMs,
            start.task(),
            start.run(),
            new OrderResult.Obeyed(server.clock(world.now().steadyMs()))));
    world.tell(new PlanEvent.Held("w1", server.bornMs, 0, world.now().steadyMs(), withoutTheRun));
    world.run(1_000);
    assertThat(world.seen.stream().filter(e -> e instanceof PlanEffect.Start).count()).isEqualTo(1);
    assertThat(world.broken).isEmpty();
  }

  @Test
  void laterLifeUnderTheSameIdKeepsNoTaskAndItsOwnEndsCount() {
    PlanWorld world = elected("w1");
    world.submit("j", PlanWorld.step(3, 1_000));
    world.run(1_000);
    world.submit("k", PlanWorld.lasting(2, 1_000, 0));
    world.run(1_000);
    world.get("w1").crash();
    world.server("w1", 10_000);
    world.submit("l", PlanWorld.step(3, 1_000));
    world.run(4_000);
    assertThat(show(world, "l")).isEqualTo(new JobAnswer.Shown(JobPhase.COMPLETED));
    assertThat(runningOf(world, "k")).isEqualTo(2);
    assertThat(world.broken).isEmpty();
  }

  @Test
  void silentServerThatLostItsTasksIsUsedAgainOnceItAnswers() {
    PlanWorld world = elected("w1");
    final FakeServer server = world.get("w1");
    world.submit("j", PlanWorld.step(1, 1_000));
    world.run(5);
    server.reachable = false;
    world.run(1_500);
    world.call(new JobCall.Cancel("j", PlanWorld.QUEUE));
    server.reachable = true;
    world.run(100);
    world.submit("k", PlanWorld.step(1, 1_000));
    world.run(1_500);
    assertThat(show(world, "k")).isEqualTo(new JobAnswer.Shown(JobPhase.COMPLETED));
  }

  @Test
  void stopWhoseConnectionIsRefusedOnceIsSentAgain() {
    PlanWorld world = elected("w1");
    final FakeServer server = world.get("w1");
    world.submit("j", PlanWorld.lasting(1, 1_000, 0));
    world.run(1_000);
    world.call(new JobCall.Cancel("j", PlanWorld.QUEUE));
    while (world.seen.stream().noneMatch(e -> e instanceof PlanEffect.Stop)) {
      world.run(1);
    }
    server.up = false;
    world.run(5);
    server.up = true;
    world.run(2_000);
    assertThat(server.running).isEmpty();
    assertThat(Objects.requireNonNull(world.planner).plan.openJobs()).isEqualTo(0);
  }

  /** Guards against a stop that a new planner repeats though others of the step went away since. */
  @Test
  void nextPlannerDecidesAnewWhetherLastingTaskIsStopped() {
    PlanWorld world = lastingTasksApart();
    List<FakeServer> used = used(world);
    final PlanWorld.Planner first = Objects.requireNonNull(world.planner);
    used.getLast().reachable = false;
    order(world, used.getLast().id);
    world.run(100);
    first.alive = false;
    used.getFirst().crash();
    used.getLast().reachable = true;
    world.elect();
    world.run(600);
    assertThat(used.getLast().running).hasSize(1);
  }

  /** Guards against a job whose queue moved to another service before the planner changed. */
  @Test
  void nextPlannerUsesServiceThatConfigurationNames() {
    PlanWorld world = new PlanWorld(1);
    world.server("t1", PlanWorld.OTHER_SERVICE, 10_000);
    world.elect();
    world.run(200);
    world.submit("j", PlanWorld.step(1, 1_000));
    world.run(200);
    Queue moved =
        new Queue(PlanWorld.QUEUE, "h", "/q/", PlanWorld.OTHER_SERVICE, 0, 3, 2, 600, false, false);
    Account account = new Account(PlanWorld.ACCOUNT, Set.of("key"), 1, Resources.NONE);
    world.catalogs = () -> Catalog.of(2, List.of(moved), List.of(account), Set.of());
    world.elect();
    world.run(1_500);
    assertThat(show(world, "j")).isEqualTo(new JobAnswer.Shown(JobPhase.COMPLETED));
  }
}
