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
final class AlternatingSurges {

  /** Time between the peaks of two surges, in milliseconds. */
  static final long SURGE_INTERVAL_MS = 5_500;

  private static final double SURGE_DURATION_MS = 10_000;

  /** Time of the first peak since the start of the surges, in milliseconds. */
  private static final long FIRST_PEAK_MS = 2_500;

  /**
   * Time until a moved machine has a backend server in its next pool, without the delay of the
   * list, in milliseconds.
   */
  private static final long MOVE_DURATION_MS = 2_200;

  /** Arrival rate of a queue between its surges, as a multiple of its mean. */
  private static final double IDLE_FACTOR = 0.05;

  /** Arrival rate that a surge adds at its peak, as a multiple of the mean. */
  private static final double SURGE_FACTOR = 4;

  private static final double MILLIS_PER_SECOND = 1_000;
  private static final long OBJECTIVE_BASE_MS = 600;

  /** The objective of a job is the base plus this factor times the critical path. */
  private static final double SLACK_FACTOR = 1.6;

  /** Multiple of its objective up to which a late job still has some value. */
  private static final int MAX_LATENESS_FACTOR = 3;

  /** Share of its value that a late job earns. */
  private static final double LATE_VALUE_SHARE = 0.07;

  private static final Resources MACHINE_CAPACITY = new Resources(64_000, 131_072, 0);

  /** Standard deviation of the logarithm of an estimate relative to the length. */
  double estimateDeviation = 0.9;

  /**
   * A queue and its pool.
   *
   * @param queue name of the queue
   * @param service name of the pool
   * @param machines machines in the pool of a full-size deployment
   * @param jobsPerSecond mean number of jobs a second in a full-size deployment
   * @param meanSteps mean number of steps of a job
   * @param meanTaskMs mean length of a task, in milliseconds
   * @param meanCpu mean need of a task, in thousandths of a core
   * @param meanMemory mean need of a task, in megabytes
   * @param value value of a job of mean work
   */
  record QueueProfile(
      String queue,
      String service,
      int machines,
      double jobsPerSecond,
      double meanSteps,
      double meanTaskMs,
      double meanCpu,
      double meanMemory,
      double value) {

    static final int MEAN_TASKS = 8;

    /** Returns the mean work of a job, in milliseconds of a thousandth of a core. */
    double meanWork() {
      return meanSteps * MEAN_TASKS * meanTaskMs * meanCpu;
    }
  }

  /** Queues in the order of their surges. */
  static final List<QueueProfile> PROFILES =
      List.of(
          new QueueProfile("tile", "tiles", 44, 11.8, 1.6, 800, 8_100, 12_000, 0.403),
          new QueueProfile("gap", "gaps", 54, 14.7, 1.6, 800, 8_100, 12_000, 0.403),
          new QueueProfile("render", "renders", 60, 2.22, 2, 2_100, 18_000, 32_000, 2.94),
          new QueueProfile("sector", "sectors", 49, 1.82, 2, 2_100, 18_000, 32_000, 2.94));

  private static final int STANDBY_MACHINES = 40;

  /**
   * A job that was submitted.
   *
   * @param profile the job's queue
   * @param sentMs time of the submission, in milliseconds of the wall clock
   * @param objectiveMs objective for the time from submission to completion, in milliseconds
   * @param value value of the job if it meets its objective
   */
  private record SubmittedJob(QueueProfile profile, long sentMs, long objectiveMs, double value) {}

  final PlanSimulation sim;

  /** Source of the random jobs; separate from that of the simulation. */
  private final Random random;

  private final double size;
  private final Map<TaskKey, Long> taskLengthsMs = new HashMap<>();
  private final Map<String, SubmittedJob> submittedJobs = new LinkedHashMap<>();
  private double machineSeconds;
  private long movesBefore;
  private long lastJobNumber;

  /**
   * Starts the planner and a lasting job in each queue.
   *
   * @param seed seed of the random numbers
   * @param size part of the machines and of the load of a full-size deployment
   */
  AlternatingSurges(long seed, double size) {
    this.size = size;
    random = new Random(seed);
    sim = new PlanSimulation(seed);
    sim.machineCapacity = MACHINE_CAPACITY;
    sim.moveDurationMs = MOVE_DURATION_MS;
    Catalog catalog = catalog();
    sim.catalogSource = () -> catalog;
    sim.taskLengths = task -> taskLengthsMs.getOrDefault(task, 1L);
    for (QueueProfile profile : PROFILES) {
      IntStream.range(0, scaled(profile.machines))
          .forEach(i -> sim.addServer(profile.service + i, profile.service, MACHINE_CAPACITY));
    }
    IntStream.range(0, scaled(STANDBY_MACHINES)).forEach(i -> sim.standbyMachines.add("m-off" + i));
    sim.electPlanner();
    sim.run(2_000);
    for (QueueProfile profile : PROFILES) {
      submit(profile, List.of(lastingStep()));
    }
  }

  /** Returns the part of a full-size number, at least 1. */
  private int scaled(double full) {
    return Math.max(1, (int) Math.round(full * size));
  }

  private static Catalog catalog() {
    List<Queue> queues =
        PROFILES.stream()
            .map(
                profile ->
                    new Queue(
                        profile.queue,
                        "h",
                        "/" + profile.queue + "/",
                        profile.service,
                        0,
                        3,
                        SLACK_FACTOR,
                        OBJECTIVE_BASE_MS,
                        false,
                        false))
            .toList();
    Account account = new Account(PlanSimulation.ACCOUNT, Set.of("key"), 1_000, Resources.NONE);
    return Catalog.of(1, queues, List.of(account), Set.of(PlanSimulation.SPARE));
  }

  private StepSpec lastingStep() {
    return step(scaled(24), new Resources(9_000, 31_000, 0), 0, List.of(), 2);
  }

  /** Returns a step, of lasting tasks if the estimate is 0. */
  private static StepSpec step(
      int count, Resources need, long estimateMs, List<Integer> after, int perServer) {
    boolean lasting = estimateMs == 0;
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
        lasting,
        "",
        0,
        false,
        lasting ? 4 : 0);
  }

  /** Submits a job; returns its id. */
  private String submit(QueueProfile profile, List<StepSpec> steps) {
    String id = profile.queue + ++lastJobNumber;
    JobSpec spec = new JobSpec("text", steps, 1, 0, 0);
    sim.call(new JobCall.Submit(id, profile.queue, PlanSimulation.ACCOUNT, spec));
    return id;
  }

  void runIdle(long durationMs) {
    sim.run(durationMs);
  }

  /** Runs the simulation under surges for a time, in milliseconds; the first queue surges first. */
  void runSurges(long durationMs) {
    movesBefore = sim.moveOrders.size();
    runSurges(0, durationMs);
  }

  /**
   * Runs the simulation under surges.
   *
   * @param elapsedMs time since the start of the surges, in milliseconds
   * @param durationMs time to simulate, in milliseconds
   */
  void runSurges(long elapsedMs, long durationMs) {
    long sliceMs = 20;
    for (long timeMs = elapsedMs; timeMs < elapsedMs + durationMs; timeMs += sliceMs) {
      for (int queue = 0; queue < PROFILES.size(); queue++) {
        QueueProfile profile = PROFILES.get(queue);
        int jobs =
            poisson(
                profile.jobsPerSecond
                    * size
                    * loadFactor(queue, timeMs)
                    * sliceMs
                    / MILLIS_PER_SECOND);
        IntStream.range(0, jobs).forEach(i -> submitRandomJob(profile));
      }
      sim.run(sliceMs);
      machineSeconds += sim.machinesInUse() * sliceMs / MILLIS_PER_SECOND;
    }
  }

  /**
   * Returns the arrival rate of a queue at a time, as a multiple of its mean.
   *
   * @param queue number of the queue
   * @param timeMs time since the start of the surges, in milliseconds
   * @return the multiple
   */
  private static double loadFactor(int queue, long timeMs) {
    long roundMs = SURGE_INTERVAL_MS * PROFILES.size();
    long peakMs = FIRST_PEAK_MS + SURGE_INTERVAL_MS * queue;
    long offsetMs = Math.floorMod(timeMs - peakMs + roundMs / 2, roundMs) - roundMs / 2;
    double level = Math.cos(Math.PI * offsetMs / SURGE_DURATION_MS);
    return Math.abs(offsetMs) < SURGE_DURATION_MS / 2
        ? IDLE_FACTOR + SURGE_FACTOR * level * level
        : IDLE_FACTOR;
  }

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
  private double logNormal(double deviation) {
    return Math.exp(deviation * random.nextGaussian() - deviation * deviation / 2);
  }

  private void submitRandomJob(QueueProfile profile) {
    int stepCount = (int) Math.max(1, Math.round(profile.meanSteps + 0.4 * random.nextGaussian()));
    double taskMs = Math.min(2.5, logNormal(0.5)) * profile.meanTaskMs;
    int tasks = (int) Math.clamp(Math.round(QueueProfile.MEAN_TASKS * logNormal(0.5)), 1, 32);
    long cpu = (long) (profile.meanCpu * Math.min(3, logNormal(0.45)));
    long memory = (long) (profile.meanMemory * Math.min(3, logNormal(0.5)));
    List<StepSpec> steps = new ArrayList<>();
    List<List<Long>> lengthsMs = new ArrayList<>();
    long estimateMs =
        (long) Math.max(1, taskMs * Math.exp(estimateDeviation * random.nextGaussian()));
    for (int s = 0; s < stepCount; s++) {
      List<Integer> after = s == 0 ? List.of() : List.of(s - 1);
      steps.add(step(tasks, new Resources(cpu, memory, 0), estimateMs, after, 0));
      lengthsMs.add(
          Stream.generate(() -> (long) (taskMs * Math.min(2, logNormal(0.2))))
              .limit(tasks)
              .toList());
    }
    String id = profile.queue + (lastJobNumber + 1);
    long criticalPathMs = 0;
    double work = 0;
    for (int s = 0; s < stepCount; s++) {
      criticalPathMs += lengthsMs.get(s).stream().mapToLong(l -> l).max().orElse(0);
      for (int i = 0; i < tasks; i++) {
        taskLengthsMs.put(new TaskKey(id, 0, s, i), lengthsMs.get(s).get(i));
        work += lengthsMs.get(s).get(i) * cpu;
      }
    }
    double value = profile.value * Math.min(4, 0.3 + 0.7 * work / profile.meanWork());
    submittedJobs.put(
        id,
        new SubmittedJob(
            profile,
            sim.now().wallMs(),
            (long) (SLACK_FACTOR * criticalPathMs) + OBJECTIVE_BASE_MS,
            value));
    submit(profile, steps);
  }

  private double earnedValue(String id, SubmittedJob job) {
    JobRecord record = sim.stored.get("p/" + id);
    if (!(record instanceof JobRecord.Closed closed) || closed.phase() != JobPhase.COMPLETED) {
      return 0;
    }
    long durationMs = closed.endedMs() - job.sentMs;
    if (durationMs <= job.objectiveMs) {
      return job.value;
    }
    return durationMs <= MAX_LATENESS_FACTOR * job.objectiveMs ? LATE_VALUE_SHARE * job.value : 0;
  }

  double earnedShare(String queue) {
    return share(
        submittedJobs.entrySet().stream().filter(e -> e.getValue().profile.queue.equals(queue)));
  }

  double earnedShare() {
    return share(submittedJobs.entrySet().stream());
  }

  /**
   * Returns the share of the value that was earned of the jobs submitted between two times since
   * the first submission, in milliseconds.
   */
  double earnedShare(long fromMs, long toMs) {
    long startMs = submittedJobs.values().iterator().next().sentMs;
    return share(
        submittedJobs.entrySet().stream()
            .filter(e -> e.getValue().sentMs - startMs >= fromMs)
            .filter(e -> e.getValue().sentMs - startMs < toMs));
  }

  /** Returns the share of the value of some jobs that was earned, 1 if there are none. */
  private double share(Stream<Map.Entry<String, SubmittedJob>> jobs) {
    double[] sums = new double[2];
    jobs.forEach(
        e -> {
          sums[0] += earnedValue(e.getKey(), e.getValue());
          sums[1] += e.getValue().value;
        });
    return sums[1] == 0 ? 1 : sums[0] / sums[1];
  }

  double machineSeconds() {
    return machineSeconds;
  }

  long moveCount() {
    return sim.moveOrders.size() - movesBefore;
  }

  double totalValue() {
    return submittedJobs.values().stream().mapToDouble(SubmittedJob::value).sum();
  }
}
