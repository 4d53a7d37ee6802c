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
 * The calls of client accounts: four queues of short jobs that surge in turn, and lasting jobs that
 * stay. Not thread-safe.
 */
final class PlannerLoad {

  /** The pool of machines that are switched off. */
  static final String SPARE = "spare";

  /** Backend servers for which the rates below are meant. */
  private static final double FULL_SIZE = 247;

  /** How long one queue surges before the next does, in milliseconds. */
  private static final long TURN_MS = 4_000;

  /** What a queue asks in its turn and out of it, as parts of its mean. */
  private static final double IN_TURN = 3.4;

  private static final double OUT_OF_TURN = 0.2;
  private static final int ACCOUNTS = 20;
  private static final int LASTING_JOBS = 4;
  private static final int LASTING_TASKS = 24;

  /** Share of a pool over which the tasks of a lasting job are spread. */
  private static final double LASTING_PART = 0.5;

  private static final long TICK_MS = 20;
  private static final double SECOND_MS = 1_000;
  private static final int TEXT_BYTES = 600;
  private static final int WEIGHT = 10;
  private static final int ATTEMPTS = 3;
  private static final double SLACK = 1.6;
  private static final long TARGET_MS = 600;
  private static final int LASTING_CPU = 8_500;
  private static final int LASTING_MEMORY = 12_000;

  /** Bounds of the tasks of a step; one step in so many keeps its tasks apart. */
  private static final int LEAST_TASKS = 3;

  private static final int MORE_TASKS = 11;
  private static final int APART = 7;
  private static final int MORE_STEPS = 3;

  /**
   * A queue of short jobs.
   *
   * @param service its pool
   * @param perS jobs a second, the mean over all turns
   * @param priority 0 is the most urgent
   * @param cpu mean need of a task, in thousandths of a core
   * @param memory mean need of a task, in megabytes
   * @param lengthMs mean length of a task, in milliseconds
   * @param part the pool's part of all machines
   */
  record Kind(
      String service, double perS, int priority, int cpu, int memory, long lengthMs, double part) {}

  /** The services, with the part of all machines that each has. */
  static final List<Kind> KINDS =
      List.of(
          new Kind("preview", 11.8, 0, 8_100, 12_000, 800, 0.18),
          new Kind("sector", 1.8, 1, 18_000, 32_000, 2_100, 0.2),
          new Kind("gap", 14.7, 0, 8_100, 12_000, 800, 0.22),
          new Kind("plan", 2.2, 1, 18_000, 32_000, 2_100, 0.24));

  private final VirtualTime time;
  private final SplittableRandom random;
  private final double scale;
  private final int machines;
  private final Consumer<JobCall> planner;
  private final Map<String, JobSpec> specs = new HashMap<>();
  private final String text = "x".repeat(TEXT_BYTES);
  private final double[] owed = new double[KINDS.size()];
  private long began;

  PlannerLoad(VirtualTime time, long seed, int machines, double load, Consumer<JobCall> planner) {
    this.time = time;
    this.random = new SplittableRandom(seed);
    this.scale = load * machines / FULL_SIZE;
    this.machines = machines;
    this.planner = planner;
  }

  static Catalog catalog() {
    List<Queue> queues =
        IntStream.range(0, KINDS.size())
            .boxed()
            .flatMap(i -> Stream.of(queue(i, false), queue(i, true)))
            .toList();
    List<Account> accounts =
        IntStream.range(0, ACCOUNTS)
            .mapToObj(i -> new Account("a" + i, Set.of("k" + i), WEIGHT, Resources.NONE))
            .toList();
    return Catalog.of(1, queues, accounts, Set.of(SPARE));
  }

  private static Queue queue(int index, boolean lasting) {
    Kind of = KINDS.get(index);
    String name = (lasting ? "stay-" : "short-") + of.service();
    return new Queue(
        name,
        "h",
        "/" + name + "/",
        of.service(),
        of.priority(),
        ATTEMPTS,
        SLACK,
        TARGET_MS,
        lasting,
        false);
  }

  StepSpec step(TaskKey task) {
    JobSpec spec = specs.get(task.job());
    if (spec == null) {
      throw new IllegalArgumentException("job \"%s\" was not handed in".formatted(task.job()));
    }
    return spec.steps().get(task.step());
  }

  /** Hands in the lasting jobs. */
  void stay() {
    for (Kind of : KINDS) {
      int width = (int) Math.min(LASTING_TASKS, Math.ceil(machines * of.part() * LASTING_PART));
      for (int i = 0; i < LASTING_JOBS; i++) {
        StepSpec step = lasting(width, i % 2 == 1);
        submit("stay-" + of.service(), new JobSpec(text, List.of(step), 1, 0, 0));
      }
    }
  }

  /** Hands in short jobs from now on. */
  void begin() {
    began = time.nowMs();
    tick();
  }

  private void tick() {
    long turn = (time.nowMs() - began) / TURN_MS % KINDS.size();
    for (int i = 0; i < KINDS.size(); i++) {
      double part = i == turn ? IN_TURN : OUT_OF_TURN;
      owed[i] += KINDS.get(i).perS() * scale * part * TICK_MS / SECOND_MS;
      for (; owed[i] >= 1; owed[i]--) {
        submit("short-" + KINDS.get(i).service(), job(KINDS.get(i)));
      }
    }
    time.in(TICK_MS, this::tick);
  }

  private void submit(String queue, JobSpec spec) {
    String id = "job-" + specs.size();
    specs.put(id, spec);
    planner.accept(new JobCall.Submit(id, queue, "a" + random.nextInt(ACCOUNTS), spec));
  }

  private JobSpec job(Kind of) {
    List<StepSpec> steps = new ArrayList<>();
    int count = 1 + random.nextInt(MORE_STEPS) / 2 + random.nextInt(MORE_STEPS) / 2;
    for (int s = 0; s < count; s++) {
      List<Integer> after = s == 0 ? List.of() : List.of(s - 1);
      int width = LEAST_TASKS + random.nextInt(MORE_TASKS);
      int perServer = random.nextInt(APART) == 0 ? 1 : 0;
      long length = of.lengthMs() / 2 + random.nextLong(of.lengthMs());
      Resources need = new Resources(around(of.cpu()), around(of.memory()), 0);
      steps.add(spec(width, need, length, after, perServer, false, false));
    }
    return new JobSpec(text, steps, 1, 0, 0);
  }

  private StepSpec lasting(int width, boolean fills) {
    Resources need = new Resources(around(LASTING_CPU), around(LASTING_MEMORY), 0);
    return spec(width, need, 0, List.of(), fills ? 0 : 1, true, fills);
  }

  private long around(long mean) {
    return mean / 2 + random.nextLong(mean);
  }

  private static StepSpec spec(
      int count,
      Resources need,
      long lengthMs,
      List<Integer> after,
      int perServer,
      boolean lasts,
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
        perServer,
        false,
        lasts,
        "i",
        0,
        fills,
        lasts ? 1 : 0);
  }
}
