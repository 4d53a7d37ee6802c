package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.Account;
import dev.toucanstall.core.job.Catalog;
import dev.toucanstall.core.job.JobSpec;
import dev.toucanstall.core.job.Queue;
import dev.toucanstall.core.job.Resources;
import dev.toucanstall.core.job.StepSpec;
import dev.toucanstall.core.job.TaskKey;
import dev.toucanstall.core.job.WaveOrder;
import dev.toucanstall.core.node.NodeEvent;
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
 * Simulates a large deployment: four pools and a spare pool, each pool with a queue of short jobs
 * and one of lasting jobs. The queues of short jobs surge in turn.
 */
final class LargeDeployment {

  static final long SURGE_MS = 4_000;

  /** Arrival rate of a queue during its surge, as a multiple of its mean. */
  private static final double SURGE_FACTOR = 4;

  private static final double IDLE_FACTOR = 0.05;
  private static final Resources MACHINE_CAPACITY = new Resources(64_000, 131_072, 0);
  private static final int SPARE_MACHINES = 40;
  private static final int LASTING_TASKS = 24;
  private static final int MAX_UNAVAILABLE = 4;

  /** Lasting jobs of each queue; every second one runs on idle processors only. */
  private static final int LASTING_JOBS_PER_QUEUE = 4;

  private static final int MAX_MAINTAINED = 15;
  private static final long WAVE_DURATION_MS = 27_000;

  /** The objective of a short job is the base plus this factor times the critical path. */
  private static final double SLACK_FACTOR = 1.6;

  private static final long OBJECTIVE_BASE_MS = 600;

  /** Multiple of its objective within which a late job still counts. */
  private static final int MAX_LATENESS_FACTOR = 3;

  /** Standard deviation of random sizes, as a part of their mean. */
  private static final double RELATIVE_DEVIATION = 0.5;

  private static final double MEAN_TASKS = 8;
  private static final long TIME_STEP_MS = 5;

  /**
   * A queue of short jobs and its pool.
   *
   * @param queue name of the queue
   * @param service name of the pool
   * @param machines machines in the pool at the start
   * @param jobsPerSecond mean number of jobs a second
   * @param meanSteps mean number of steps of a job
   * @param meanTaskMs mean length of a task, in milliseconds
   * @param meanCpu mean need of a task, in thousandths of a core
   * @param meanMemory mean need of a task, in megabytes
   */
  record QueueProfile(
      String queue,
      String service,
      int machines,
      double jobsPerSecond,
      double meanSteps,
      long meanTaskMs,
      long meanCpu,
      long meanMemory) {}

  /** Queues of short jobs, in the order of their surges. */
  private static final List<QueueProfile> PROFILES =
      List.of(
          new QueueProfile("tiles", "preview", 44, 11.8, 1.6, 800, 8_100, 12_000),
          new QueueProfile("sectors", "sector", 49, 1.82, 2, 2_100, 18_000, 32_000),
          new QueueProfile("gaps", "gapwatch", 54, 14.7, 1.6, 800, 8_100, 12_000),
          new QueueProfile("renders", "planroom", 60, 2.22, 2, 2_100, 18_000, 32_000));

  /**
   * A short job that was submitted.
   *
   * @param request the submission
   * @param profile the job's queue
   * @param sentMs time of the submission, in milliseconds of the monotonic clock
   * @param objectiveMs objective for the time from submission to completion, in milliseconds
   */
  record SubmittedJob(
      SimulatedClients.Request request, QueueProfile profile, long sentMs, long objectiveMs) {}

  final NodeSimulation sim;
  final List<SubmittedJob> shortJobs = new ArrayList<>();
  final List<SimulatedClients.Request> lastingJobs = new ArrayList<>();

  /** Source of the random sizes and arrivals; separate from that of the simulation. */
  private final Random random;

  private final Map<TaskKey, Long> taskLengthsMs = new HashMap<>();
  private long lastJobNumber;

  /** Start of the surges, in milliseconds of the monotonic clock. */
  private long surgesStartMs;

  LargeDeployment(long seed) {
    sim = new NodeSimulation(seed);
    random = new Random(seed);
    sim.platform.catalogSource = LargeDeployment::catalog;
    sim.platform.machineCapacity = MACHINE_CAPACITY;
    sim.platform.taskLengths = task -> taskLengthsMs.getOrDefault(task, 0L);
    for (QueueProfile profile : PROFILES) {
      IntStream.range(0, profile.machines())
          .forEach(
              i ->
                  sim.platform.addServer(
                      profile.service() + i, profile.service(), MACHINE_CAPACITY));
    }
    IntStream.range(0, SPARE_MACHINES)
        .forEach(i -> sim.platform.standbyMachines.add("m-spare" + i));
  }

  private static Catalog catalog() {
    List<Queue> queues =
        PROFILES.stream()
            .flatMap(
                profile ->
                    Stream.of(
                        queue(profile.queue(), profile.service(), OBJECTIVE_BASE_MS),
                        queue(profile.queue() + "-lasting", profile.service(), 2_500)))
            .toList();
    Account account = new Account("a", Set.of(SimulatedClients.KEY), 1_000, Resources.NONE);
    return Catalog.of(1, queues, List.of(account), Set.of(PlanSimulation.SPARE));
  }

  private static Queue queue(String name, String service, long objectiveBaseMs) {
    return new Queue(
        name,
        SimulatedClients.HOST,
        "/" + name + "/",
        service,
        0,
        3,
        SLACK_FACTOR,
        objectiveBaseMs,
        false,
        false);
  }

  /**
   * Submits the lasting jobs after half of a time, in milliseconds, and lets them start in the
   * other half.
   */
  void startLastingJobs(long durationMs) {
    sim.run(durationMs / 2);
    for (QueueProfile profile : PROFILES) {
      for (int i = 0; i < LASTING_JOBS_PER_QUEUE; i++) {
        boolean fills = i % 2 == 1;
        lastingJobs.add(submit(profile.queue() + "-lasting", List.of(lastingStep(fills))));
        sim.run(TIME_STEP_MS);
      }
    }
    sim.run(durationMs / 2);
  }

  /**
   * Orders the maintenance of every second machine after a delay, in milliseconds, as operators do
   * to install a kernel.
   */
  void orderWave(long delayMs) {
    List<String> machines = sim.platform.servers.values().stream().map(s -> s.machine).toList();
    List<String> everySecond =
        IntStream.range(0, machines.size())
            .filter(i -> i % 2 == 0)
            .mapToObj(machines::get)
            .toList();
    sim.platform.maxMaintained = MAX_MAINTAINED;
    WaveOrder order = new WaveOrder(1, everySecond, WAVE_DURATION_MS, MAX_MAINTAINED);
    sim.after(
        delayMs, () -> sim.runningInstances().forEach(i -> i.post(new NodeEvent.WaveRead(order))));
  }

  /** Returns the step of a lasting job, which uses idle processors only if {@code fills}. */
  private static StepSpec lastingStep(boolean fills) {
    Resources need = new Resources(8_800, 31_000, 0);
    String image = fills ? "fill" : "serve";
    return new StepSpec(
        LASTING_TASKS,
        need,
        0,
        List.of(),
        false,
        false,
        false,
        "",
        "",
        1,
        false,
        true,
        image,
        0,
        fills,
        MAX_UNAVAILABLE);
  }

  /**
   * Submits short jobs while the queues surge in turn.
   *
   * @param durationMs time of the surges, in milliseconds
   * @param firstQueue number of the queue that surges first
   */
  void runSurges(long durationMs, int firstQueue) {
    surgesStartMs = sim.nowMs();
    long endMs = surgesStartMs + durationMs;
    while (sim.nowMs() < endMs) {
      int surge = firstQueue + (int) ((sim.nowMs() - surgesStartMs) / SURGE_MS);
      for (int queue = 0; queue < PROFILES.size(); queue++) {
        double factor = surge % PROFILES.size() == queue ? SURGE_FACTOR : IDLE_FACTOR;
        submitAtRandom(PROFILES.get(queue), factor);
      }
      sim.run(TIME_STEP_MS);
    }
  }

  /**
   * Submits a short job with the probability of its arrival in one time step.
   *
   * @param profile the queue
   * @param factor arrival rate as a multiple of the queue's mean
   */
  private void submitAtRandom(QueueProfile profile, double factor) {
    if (random.nextDouble() < factor * profile.jobsPerSecond() * TIME_STEP_MS / 1_000.0) {
      long criticalPathMs = 0;
      List<StepSpec> steps = new ArrayList<>();
      int stepCount = 1 + (random.nextDouble() < profile.meanSteps() - 1 ? 1 : 0);
      String job = nextId();
      for (int s = 0; s < stepCount; s++) {
        int tasks = (int) Math.max(1, vary(MEAN_TASKS, 4 * MEAN_TASKS));
        long longestMs = 0;
        for (int i = 0; i < tasks; i++) {
          long lengthMs = (long) vary(profile.meanTaskMs(), 2.5 * profile.meanTaskMs());
          taskLengthsMs.put(new TaskKey(job, 0, s, i), lengthMs);
          longestMs = Math.max(longestMs, lengthMs);
        }
        criticalPathMs += longestMs;
        steps.add(step(profile, tasks, s));
      }
      long objectiveMs = OBJECTIVE_BASE_MS + (long) (SLACK_FACTOR * criticalPathMs);
      shortJobs.add(
          new SubmittedJob(submit(profile.queue(), job, steps), profile, sim.nowMs(), objectiveMs));
    }
  }

  /** Returns a step of a short job that starts after the step before it. */
  private StepSpec step(QueueProfile profile, int tasks, int index) {
    Resources need =
        new Resources(
            (long) vary(profile.meanCpu(), 3.0 * profile.meanCpu()),
            (long) vary(profile.meanMemory(), 35_000),
            0);
    long estimateMs = (long) vary(profile.meanTaskMs(), 2.5 * profile.meanTaskMs());
    List<Integer> after = index == 0 ? List.of() : List.of(index - 1);
    return new StepSpec(
        tasks,
        need,
        estimateMs,
        after,
        false,
        false,
        false,
        "",
        "",
        0,
        false,
        false,
        profile.queue(),
        0,
        false,
        0);
  }

  /** Returns a random size about a mean, from a tenth of the mean to an upper limit. */
  private double vary(double mean, double max) {
    return Math.clamp(mean * (1 + RELATIVE_DEVIATION * random.nextGaussian()), mean / 10, max);
  }

  private String nextId() {
    return "%016x".formatted(++lastJobNumber);
  }

  private SimulatedClients.Request submit(String queue, List<StepSpec> steps) {
    return submit(queue, nextId(), steps);
  }

  private SimulatedClients.Request submit(String queue, String job, List<StepSpec> steps) {
    return sim.clients.submit(sim.anyReady(null), queue, job, new JobSpec("text", steps, 1, 0, 0));
  }

  /**
   * Returns the share of the short jobs that were completed within a multiple of their objectives,
   * 1 if there are none.
   *
   * @param maxObjectives the multiple
   * @param fromMs earliest submission, in milliseconds since the start of the surges
   * @param toMs end of the submissions, in milliseconds since the start of the surges
   * @return the share, from 0 to 1
   */
  double completedShare(double maxObjectives, long fromMs, long toMs) {
    List<SubmittedJob> jobs =
        shortJobs.stream()
            .filter(s -> s.sentMs() >= surgesStartMs + fromMs && s.sentMs() < surgesStartMs + toMs)
            .toList();
    long completedJobs =
        jobs.stream().filter(s -> durationMs(s) <= maxObjectives * s.objectiveMs()).count();
    return jobs.isEmpty() ? 1 : (double) completedJobs / jobs.size();
  }

  /** Returns the share of all short jobs that were completed while they still count. */
  double completedShare() {
    return completedShare(MAX_LATENESS_FACTOR, 0, Long.MAX_VALUE / 2);
  }

  /**
   * Returns the time from submission to completion, in milliseconds; half of {@link Long#MAX_VALUE}
   * for a job that is not completed.
   */
  private long durationMs(SubmittedJob job) {
    Long completedMs = sim.completionTimesMs.get(job.request().job());
    return completedMs == null ? Long.MAX_VALUE / 2 : completedMs - job.sentMs();
  }

  /** Returns the number of log events of a name over all entry instances. */
  int logEventCount(String event) {
    return sim.instances.stream().mapToInt(i -> i.logEventCount(event)).sum();
  }

  String summary() {
    Map<String, String> parts = new LinkedHashMap<>();
    for (QueueProfile profile : PROFILES) {
      List<SubmittedJob> jobs = shortJobs.stream().filter(s -> s.profile() == profile).toList();
      long inTime = jobs.stream().filter(s -> durationMs(s) <= s.objectiveMs()).count();
      long withinLimit =
          jobs.stream().filter(s -> durationMs(s) <= MAX_LATENESS_FACTOR * s.objectiveMs()).count();
      parts.put(
          profile.queue(),
          inTime + " in time, " + withinLimit + " within three objectives of " + jobs.size());
    }
    parts.put("expired", Integer.toString(logEventCount("call-expired")));
    parts.put("unreachable", Integer.toString(logEventCount("planner-unreachable")));
    parts.put("elections", Integer.toString(logEventCount("planner-elected")));
    parts.put("moves", Integer.toString(sim.platform.moveOrders.size()));
    SimulatedInstance planner = sim.planner();
    if (planner != null) {
      parts.put("planner", planner.name + " with " + planner.cores + " cores");
      parts.put("longest wait of an event in ms", Long.toString(planner.longestWaitMs));
    }
    return parts.toString();
  }
}
