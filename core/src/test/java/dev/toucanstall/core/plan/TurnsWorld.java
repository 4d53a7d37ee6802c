package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.Account;
import dev.toucanstall.core.job.Catalog;
import dev.toucanstall.core.job.JobCall;
import dev.toucanstall.core.job.JobPhase;
import dev.toucanstall.core.job.JobRecord;
import dev.toucanstall.core.job.JobSpec;
import dev.toucanstall.core.job.Queue;
import dev.toucanstall.core.job.Resources;
import dev.toucanstall.core.job.StepSpec;
import dev.toucanstall.core.job.TaskKey;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Simulates four queues that surge in turn to four times their mean, each with a pool that is too
 * small for its surge, and a pool of machines that are switched off. The delays of network and
 * planner are negligible.
 */
final class TurnsWorld {

  /** Time between the peaks of two surges, in milliseconds. */
  static final long TURN_MS = 5_500;

  /** Time from the beginning to the end of a surge, in milliseconds. */
  private static final double WHOLE_TURN_MS = 10_000;

  /** Time of the first peak since the start of the surges, in milliseconds. */
  private static final long FIRST_MIDDLE_MS = 2_500;

  /**
   * Time until a moved machine has a backend server in its next pool, without the delay of the
   * list, in milliseconds.
   */
  private static final long MOVE_MS = 2_200;

  /** Arrival rate of a queue between its surges, as a multiple of its mean. */
  private static final double CALM = 0.05;

  /** Arrival rate that a surge adds at its peak, as a multiple of the mean. */
  private static final double SURGE = 4;

  /** Milliseconds in a second. */
  private static final double SECOND_MS = 1_000;

  /** Fixed part of a job's objective, in milliseconds. */
  private static final long TARGET_MS = 600;

  /** Factor of the critical path in a job's objective. */
  private static final double SLACK = 1.6;

  /** Multiple of its objective up to which a late job still has some value. */
  private static final int LATE_OBJECTIVES = 3;

  /** Share of its value that a late job earns. */
  private static final double LATE_PART = 0.07;

  /** Resources of each machine. */
  private static final Resources MACHINE = new Resources(64_000, 131_072, 0);

  /** Standard deviation of the logarithm of an estimate relative to the length. */
  double estimateOff = 0.9;

  /**
   * A queue and its pool.
   *
   * @param queue name of the queue
   * @param service name of the pool
   * @param machines machines in the pool of a full-size deployment
   * @param perS mean number of jobs a second in a full-size deployment
   * @param steps mean number of steps of a job
   * @param workMs mean length of a task, in milliseconds
   * @param cpu mean need of a task, in thousandths of a core
   * @param memory mean need of a task, in megabytes
   * @param worth value of a job of mean work
   */
  record Kind(
      String queue,
      String service,
      int machines,
      double perS,
      double steps,
      double workMs,
      double cpu,
      double memory,
      double worth) {

    /** Mean number of tasks of a step. */
    static final int WIDTH = 8;

    /** Returns the mean work of a job, in milliseconds of a thousandth of a core. */
    double meanWork() {
      return steps * WIDTH * workMs * cpu;
    }
  }

  /** Queues in the order of their surges. */
  static final List<Kind> KINDS =
      List.of(
          new Kind("tile", "tiles", 44, 11.8, 1.6, 800, 8_100, 12_000, 0.403),
          new Kind("gap", "gaps", 54, 14.7, 1.6, 800, 8_100, 12_000, 0.403),
          new Kind("render", "renders", 60, 2.22, 2, 2_100, 18_000, 32_000, 2.94),
          new Kind("sector", "sectors", 49, 1.82, 2, 2_100, 18_000, 32_000, 2.94));

  /** Machines of a full-size deployment that are switched off. */
  private static final int OFF_MACHINES = 40;

  /**
   * A job that was submitted.
   *
   * @param kind the job's queue
   * @param sentMs time of the submission, in milliseconds of the wall clock
   * @param objectiveMs objective for the time from submission to completion, in milliseconds
   * @param worth value of the job if it meets its objective
   */
  private record Owed(Kind kind, long sentMs, long objectiveMs, double worth) {}

  /** Planner, store and machines. */
  final PlanWorld world;

  /** Source of the random jobs; separate from that of the simulation. */
  private final Random random;

  /** Part of the machines and of the load of a full-size deployment. */
  private final double size;

  /** Length of each task, in milliseconds. */
  private final Map<TaskKey, Long> lengths = new HashMap<>();

  /** Submitted jobs by their id. */
  private final Map<String, Owed> owed = new LinkedHashMap<>();

  /** Time of all machines that were in use during the surges, in seconds. */
  private double machineSeconds;

  /** Number of moves that were ordered before the surges. */
  private long movesBefore;

  /** Number of the last job. */
  private long numbers;

  /**
   * Starts the planner and a lasting job in each queue.
   *
   * @param seed seed of the random numbers
   * @param size part of the machines and of the load of a full-size deployment
   */
  TurnsWorld(long seed, double size) {
    this.size = size;
    random = new Random(seed);
    world = new PlanWorld(seed);
    world.machineSize = MACHINE;
    world.moveMs = MOVE_MS;
    Catalog catalog = catalog();
    world.catalogs = () -> catalog;
    world.lengths = task -> lengths.getOrDefault(task, 1L);
    for (Kind kind : KINDS) {
      IntStream.range(0, scaled(kind.machines))
          .forEach(i -> world.server(kind.service + i, kind.service, MACHINE));
    }
    IntStream.range(0, scaled(OFF_MACHINES)).forEach(i -> world.standby.add("m-off" + i));
    world.elect();
    world.run(2_000);
    for (Kind kind : KINDS) {
      submit(kind, List.of(lasting()));
    }
  }

  /** Returns the part of a full-size number, at least 1. */
  private int scaled(double full) {
    return Math.max(1, (int) Math.round(full * size));
  }

  private static Catalog catalog() {
    List<Queue> queues =
        KINDS.stream()
            .map(
                k ->
                    new Queue(
                        k.queue,
                        "h",
                        "/" + k.queue + "/",
                        k.service,
                        0,
                        3,
                        SLACK,
                        TARGET_MS,
                        false,
                        false))
            .toList();
    Account account = new Account(PlanWorld.ACCOUNT, Set.of("key"), 1_000, Resources.NONE);
    return Catalog.of(1, queues, List.of(account), Set.of(PlanWorld.SPARE));
  }

  /** Returns the step of a lasting job. */
  private StepSpec lasting() {
    return step(scaled(24), new Resources(9_000, 31_000, 0), 0, List.of(), 2);
  }

  /** Returns a step, of lasting tasks if the estimate is 0. */
  private static StepSpec step(
      int count, Resources need, long estimateMs, List<Integer> after, int perServer) {
    boolean lasts = estimateMs == 0;
    return new StepSpec(
        count,
        need,
        estimateMs,
        after,
        false,
        false,
        false,
        "",
        "",
        perServer,
        false,
        lasts,
        "",
        0,
        false,
        lasts ? 4 : 0);
  }

  /** Submits a job; returns its id. */
  private String submit(Kind kind, List<StepSpec> steps) {
    String id = kind.queue + ++numbers;
    JobSpec spec = new JobSpec("text", steps, 1, 0, 0);
    world.call(new JobCall.Submit(id, kind.queue, PlanWorld.ACCOUNT, spec));
    return id;
  }

  /** Lets time pass without submissions, in milliseconds. */
  void idle(long forMs) {
    world.run(forMs);
  }

  /** Lets time pass with surges, in milliseconds, beginning with that of the first queue. */
  void turns(long forMs) {
    movesBefore = world.moves.size();
    turns(0, forMs);
  }

  /** Lets time pass with surges that began a time ago, both in milliseconds. */
  void turns(long fromMs, long forMs) {
    long slice = 20;
    for (long t = fromMs; t < fromMs + forMs; t += slice) {
      for (int k = 0; k < KINDS.size(); k++) {
        Kind kind = KINDS.get(k);
        int jobs = poisson(kind.perS * size * factor(k, t) * slice / SECOND_MS);
        IntStream.range(0, jobs).forEach(i -> job(kind));
      }
      world.run(slice);
      machineSeconds += world.machinesInUse() * slice / SECOND_MS;
    }
  }

  /**
   * Returns the arrival rate of a queue at a time, as a multiple of its mean.
   *
   * @param turn number of the queue
   * @param atMs time since the start of the surges, in milliseconds
   * @return the multiple
   */
  private static double factor(int turn, long atMs) {
    long round = TURN_MS * KINDS.size();
    long middle = FIRST_MIDDLE_MS + TURN_MS * turn;
    long off = Math.floorMod(atMs - middle + round / 2, round) - round / 2;
    double rise = Math.cos(Math.PI * off / WHOLE_TURN_MS);
    return Math.abs(off) < WHOLE_TURN_MS / 2 ? CALM + SURGE * rise * rise : CALM;
  }

  /** Returns a random number with a Poisson distribution of a mean. */
  private int poisson(double mean) {
    double limit = Math.exp(-mean);
    double product = random.nextDouble();
    int count = 0;
    while (product > limit) {
      count++;
      product *= random.nextDouble();
    }
    return count;
  }

  /**
   * Returns a random number with a log-normal distribution of mean 1 and a standard deviation of
   * its logarithm.
   */
  private double spread(double deviation) {
    return Math.exp(deviation * random.nextGaussian() - deviation * deviation / 2);
  }

  /** Submits a random job to a queue. */
  private void job(Kind kind) {
    int count = (int) Math.max(1, Math.round(kind.steps + 0.4 * random.nextGaussian()));
    double work = Math.min(2.5, spread(0.5)) * kind.workMs;
    int width = (int) Math.clamp(Math.round(Kind.WIDTH * spread(0.5)), 1, 32);
    long cpu = (long) (kind.cpu * Math.min(3, spread(0.45)));
    long memory = (long) (kind.memory * Math.min(3, spread(0.5)));
    List<StepSpec> steps = new ArrayList<>();
    List<List<Long>> truth = new ArrayList<>();
    long estimate = (long) Math.max(1, work * Math.exp(estimateOff * random.nextGaussian()));
    for (int s = 0; s < count; s++) {
      List<Integer> after = s == 0 ? List.of() : List.of(s - 1);
      steps.add(step(width, new Resources(cpu, memory, 0), estimate, after, 0));
      truth.add(
          Stream.generate(() -> (long) (work * Math.min(2, spread(0.2)))).limit(width).toList());
    }
    String id = kind.queue + (numbers + 1);
    long chain = 0;
    double cores = 0;
    for (int s = 0; s < count; s++) {
      chain += truth.get(s).stream().mapToLong(l -> l).max().orElse(0);
      for (int i = 0; i < width; i++) {
        lengths.put(new TaskKey(id, 0, s, i), truth.get(s).get(i));
        cores += truth.get(s).get(i) * cpu;
      }
    }
    double worth = kind.worth * Math.min(4, 0.3 + 0.7 * cores / kind.meanWork());
    owed.put(id, new Owed(kind, world.now().wallMs(), (long) (SLACK * chain) + TARGET_MS, worth));
    submit(kind, steps);
  }

  /** Returns the value that a job has earned. */
  private double earned(String id, Owed job) {
    JobRecord record = world.stored.get("p/" + id);
    if (!(record instanceof JobRecord.Closed closed) || closed.phase() != JobPhase.COMPLETED) {
      return 0;
    }
    long took = closed.endedMs() - job.sentMs;
    if (took <= job.objectiveMs) {
      return job.worth;
    }
    return took <= LATE_OBJECTIVES * job.objectiveMs ? LATE_PART * job.worth : 0;
  }

  /** Returns the share of the value of a queue's jobs that was earned, from 0 to 1. */
  double earnedPart(String queue) {
    return part(owed.entrySet().stream().filter(e -> e.getValue().kind.queue.equals(queue)));
  }

  /** Returns the share of the value of all jobs that was earned, from 0 to 1. */
  double earnedPart() {
    return part(owed.entrySet().stream());
  }

  /**
   * Returns the share of the value that was earned of the jobs submitted between two times since
   * the first submission, in milliseconds.
   */
  double earnedPart(long fromMs, long toMs) {
    long start = owed.values().iterator().next().sentMs;
    return part(
        owed.entrySet().stream()
            .filter(e -> e.getValue().sentMs - start >= fromMs)
            .filter(e -> e.getValue().sentMs - start < toMs));
  }

  /** Returns the share of the value of some jobs that was earned, 1 if there are none. */
  private double part(Stream<Map.Entry<String, Owed>> jobs) {
    double[] sums = new double[2];
    jobs.forEach(
        e -> {
          sums[0] += earned(e.getKey(), e.getValue());
          sums[1] += e.getValue().worth;
        });
    return sums[1] == 0 ? 1 : sums[0] / sums[1];
  }

  /** Returns the time of all machines that were in use during the surges, in seconds. */
  double machineSeconds() {
    return machineSeconds;
  }

  /** Returns the number of moves that were ordered during the surges. */
  long moves() {
    return world.moves.size() - movesBefore;
  }

  /** Returns the value of all jobs. */
  double worth() {
    return owed.values().stream().mapToDouble(Owed::worth).sum();
  }
}
