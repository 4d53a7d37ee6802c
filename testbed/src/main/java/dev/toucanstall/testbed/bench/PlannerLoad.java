package dev.toucanstall.testbed.bench;

import dev.toucanstall.core.job.Account;
import dev.toucanstall.core.job.Catalog;
import dev.toucanstall.core.job.JobCall;
import dev.toucanstall.core.job.JobSpec;
import dev.toucanstall.core.job.Queue;
import dev.toucanstall.core.job.Resources;
import dev.toucanstall.core.job.StepSpec;
import dev.toucanstall.core.job.TaskKey;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Simulates the calls of client accounts: four queues of short jobs with bursts in turn, and
 * long-running jobs. Not thread-safe.
 */
final class PlannerLoad {

  /** Pool of the machines that are switched off. */
  static final String SPARE = "spare";

  /** Number of backend servers for which the rates below apply; they scale with the number. */
  private static final double REFERENCE_MACHINES = 247;

  /** Length of one queue's burst before the next queue's, in milliseconds. */
  private static final long BURST_MS = 4_000;

  /** Rate of a queue during its burst, as a factor of its mean. */
  private static final double BURST_FACTOR = 3.4;

  private static final double IDLE_FACTOR = 0.2;
  private static final int ACCOUNTS = 20;
  private static final int LONG_RUNNING_JOBS = 4;
  private static final int LONG_RUNNING_TASKS = 24;

  /** Maximum number of tasks of a long-running job, as a share of its pool's machines. */
  private static final double LONG_RUNNING_SHARE = 0.5;

  private static final long TICK_MS = 20;
  private static final double MS_PER_SECOND = 1_000;
  private static final int TEXT_BYTES = 600;
  private static final int ACCOUNT_WEIGHT = 10;
  private static final int MAX_ATTEMPTS = 3;
  private static final double SLACK_FACTOR = 1.6;
  private static final long TARGET_MS = 600;
  private static final int LONG_RUNNING_MILLICORES = 8_500;
  private static final int LONG_RUNNING_MEMORY_MB = 12_000;

  /** Bounds of the number of tasks in a step: the minimum, and the range added to it. */
  private static final int MIN_TASKS = 3;

  private static final int EXTRA_TASKS_BOUND = 11;

  /** One step in so many allows only one task on each backend server. */
  private static final int STEPS_PER_SPREAD_STEP = 7;

  private static final int EXTRA_STEPS_BOUND = 3;

  /**
   * Service with its queue of short jobs.
   *
   * @param service name of the service and of its pool
   * @param jobsPerSecond rate of jobs, the mean over bursts and the time between them
   * @param priority priority of the queue; 0 is the most urgent
   * @param meanMillicores mean requirement of a task, in thousandths of a core
   * @param meanMemoryMb mean requirement of a task, in megabytes
   * @param meanLengthMs mean duration of a task, in milliseconds
   * @param machineShare share of all machines that the pool has
   */
  record ServiceProfile(
      String service,
      double jobsPerSecond,
      int priority,
      int meanMillicores,
      int meanMemoryMb,
      long meanLengthMs,
      double machineShare) {}

  static final List<ServiceProfile> PROFILES =
      List.of(
          new ServiceProfile("preview", 11.8, 0, 8_100, 12_000, 800, 0.18),
          new ServiceProfile("sector", 1.8, 1, 18_000, 32_000, 2_100, 0.2),
          new ServiceProfile("gap", 14.7, 0, 8_100, 12_000, 800, 0.22),
          new ServiceProfile("plan", 2.2, 1, 18_000, 32_000, 2_100, 0.24));

  private final SimulatedClock clock;
  private final SplittableRandom random;
  private final double scale;
  private final int machineCount;
  private final Consumer<JobCall> planner;
  private final Map<String, JobSpec> specs = new HashMap<>();
  private final String text = "x".repeat(TEXT_BYTES);
  private final double[] dueJobs = new double[PROFILES.size()];
  private long startedMs;

  PlannerLoad(
      SimulatedClock clock, long seed, int machineCount, double load, Consumer<JobCall> planner) {
    this.clock = clock;
    this.random = new SplittableRandom(seed);
    this.scale = load * machineCount / REFERENCE_MACHINES;
    this.machineCount = machineCount;
    this.planner = planner;
  }

  static Catalog catalog() {
    List<Queue> queues =
        IntStream.range(0, PROFILES.size())
            .boxed()
            .flatMap(i -> Stream.of(queue(i, false), queue(i, true)))
            .toList();
    List<Account> accounts =
        IntStream.range(0, ACCOUNTS)
            .mapToObj(i -> new Account("a" + i, Set.of("k" + i), ACCOUNT_WEIGHT, Resources.NONE))
            .toList();
    return Catalog.of(1, queues, accounts, Set.of(SPARE));
  }

  private static Queue queue(int index, boolean longRunning) {
    ServiceProfile profile = PROFILES.get(index);
    String name = (longRunning ? "stay-" : "short-") + profile.service();
    return new Queue(
        name,
        "h",
        "/" + name + "/",
        profile.service(),
        profile.priority(),
        MAX_ATTEMPTS,
        SLACK_FACTOR,
        TARGET_MS,
        longRunning,
        false);
  }

  StepSpec step(TaskKey task) {
    JobSpec spec = specs.get(task.job());
    if (spec == null) {
      throw new IllegalArgumentException("job \"%s\" was not submitted".formatted(task.job()));
    }
    return spec.steps().get(task.step());
  }

  /** Submits the long-running jobs. */
  void submitLongRunningJobs() {
    for (ServiceProfile profile : PROFILES) {
      int taskCount =
          (int)
              Math.min(
                  LONG_RUNNING_TASKS,
                  Math.ceil(machineCount * profile.machineShare() * LONG_RUNNING_SHARE));
      for (int i = 0; i < LONG_RUNNING_JOBS; i++) {
        StepSpec step = longRunningStep(taskCount, i % 2 == 1);
        submit("stay-" + profile.service(), new JobSpec(text, List.of(step), 1, 0, 0));
      }
    }
  }

  /** Submits short jobs from now on. */
  void startShortJobs() {
    startedMs = clock.nowMs();
    tick();
  }

  private void tick() {
    long burstIndex = (clock.nowMs() - startedMs) / BURST_MS % PROFILES.size();
    for (int i = 0; i < PROFILES.size(); i++) {
      double factor = i == burstIndex ? BURST_FACTOR : IDLE_FACTOR;
      dueJobs[i] += PROFILES.get(i).jobsPerSecond() * scale * factor * TICK_MS / MS_PER_SECOND;
      for (; dueJobs[i] >= 1; dueJobs[i]--) {
        submit("short-" + PROFILES.get(i).service(), shortJob(PROFILES.get(i)));
      }
    }
    clock.schedule(TICK_MS, this::tick);
  }

  private void submit(String queue, JobSpec spec) {
    String id = "job-" + specs.size();
    specs.put(id, spec);
    planner.accept(new JobCall.Submit(id, queue, "a" + random.nextInt(ACCOUNTS), spec));
  }

  private JobSpec shortJob(ServiceProfile profile) {
    List<StepSpec> steps = new ArrayList<>();
    int count = 1 + random.nextInt(EXTRA_STEPS_BOUND) / 2 + random.nextInt(EXTRA_STEPS_BOUND) / 2;
    for (int s = 0; s < count; s++) {
      List<Integer> after = s == 0 ? List.of() : List.of(s - 1);
      int taskCount = MIN_TASKS + random.nextInt(EXTRA_TASKS_BOUND);
      int maxPerServer = random.nextInt(STEPS_PER_SPREAD_STEP) == 0 ? 1 : 0;
      long length = profile.meanLengthMs() / 2 + random.nextLong(profile.meanLengthMs());
      Resources need =
          new Resources(
              randomAround(profile.meanMillicores()), randomAround(profile.meanMemoryMb()), 0);
      steps.add(stepSpec(taskCount, need, length, after, maxPerServer, false, false));
    }
    return new JobSpec(text, steps, 1, 0, 0);
  }

  private StepSpec longRunningStep(int taskCount, boolean fills) {
    Resources need =
        new Resources(
            randomAround(LONG_RUNNING_MILLICORES), randomAround(LONG_RUNNING_MEMORY_MB), 0);
    return stepSpec(taskCount, need, 0, List.of(), fills ? 0 : 1, true, fills);
  }

  private long randomAround(long mean) {
    return mean / 2 + random.nextLong(mean);
  }

  private static StepSpec stepSpec(
      int count,
      Resources need,
      long lengthMs,
      List<Integer> after,
      int maxPerServer,
      boolean longRunning,
      boolean fills) {
    return new StepSpec(
        count,
        need,
        lengthMs,
        after,
        false,
        false,
        false,
        "",
        "",
        maxPerServer,
        false,
        longRunning,
        "i",
        0,
        fills,
        longRunning ? 1 : 0);
  }
}
