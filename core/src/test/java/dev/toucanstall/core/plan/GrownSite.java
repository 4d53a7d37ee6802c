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
final class GrownSite {

  /** Length of a queue's surge, in milliseconds. */
  static final long TURN_MS = 4_000;

  /** Arrival rate of a queue during its surge, as a multiple of its mean. */
  private static final double PEAK = 4;

  /** Arrival rate of a queue between its surges, as a multiple of its mean. */
  private static final double REST = 0.05;

  /** Resources of each machine. */
  private static final Resources MACHINE = new Resources(64_000, 131_072, 0);

  /** Machines in the spare pool at the start. */
  private static final int SPARE_MACHINES = 40;

  /** Tasks of each lasting job. */
  private static final int LASTING_TASKS = 24;

  /** Limit of unavailable tasks of each lasting job. */
  private static final int MAY_MISS = 4;

  /** Lasting jobs of each queue; every second one runs on idle processors only. */
  private static final int LASTING_JOBS = 4;

  /** Most machines in maintenance at a time. */
  private static final int WAVE_PARALLEL = 15;

  /** Time within which the wave is to complete, in milliseconds. */
  private static final long WAVE_MS = 27_000;

  /** Factor of the critical path in the objective of a short job. */
  private static final double SLACK = 1.6;

  /** Fixed part of the objective of a short job, in milliseconds. */
  private static final long TARGET_MS = 600;

  /** Multiple of its objective within which a late job still counts. */
  private static final int LATE = 3;

  /** Standard deviation of random sizes, as a part of their mean. */
  private static final double SPREAD = 0.5;

  /** Mean number of tasks in a step of a short job. */
  private static final double WIDTH = 8;

  /** Time between two decisions on submissions, in milliseconds. */
  private static final long STEP_MS = 5;

  /**
   * A queue of short jobs and its pool.
   *
   * @param queue name of the queue
   * @param service name of the pool
   * @param machines machines in the pool at the start
   * @param perSecond mean number of jobs a second
   * @param steps mean number of steps of a job
   * @param taskMs mean length of a task, in milliseconds
   * @param cpu mean need of a task, in thousandths of a core
   * @param memory mean need of a task, in megabytes
   */
  record Kind(
      String queue,
      String service,
      int machines,
      double perSecond,
      double steps,
      long taskMs,
      long cpu,
      long memory) {}

  /** Queues of short jobs, in the order of their surges. */
  private static final List<Kind> KINDS =
      List.of(
          new Kind("tiles", "preview", 44, 11.8, 1.6, 800, 8_100, 12_000),
          new Kind("sectors", "sector", 49, 1.82, 2, 2_100, 18_000, 32_000),
          new Kind("gaps", "gapwatch", 54, 14.7, 1.6, 800, 8_100, 12_000),
          new Kind("renders", "planroom", 60, 2.22, 2, 2_100, 18_000, 32_000));

  /**
   * A short job that was submitted.
   *
   * @param call the submission
   * @param kind the job's queue
   * @param sentMs time of the submission, in milliseconds of the steady clock
   * @param objectiveMs objective for the time from submission to completion, in milliseconds
   */
  record Sent(NodeClients.Call call, Kind kind, long sentMs, long objectiveMs) {}

  /** Entry instances, clients, store and machines. */
  final NodeWorld world;

  /** Short jobs in the order of their submission. */
  final List<Sent> sent = new ArrayList<>();

  /** Submissions of the lasting jobs. */
  final List<NodeClients.Call> lasting = new ArrayList<>();

  /** Source of the random sizes and arrivals; separate from that of the simulation. */
  private final Random random;

  /** Length of each task of the short jobs, in milliseconds. */
  private final Map<TaskKey, Long> lengths = new HashMap<>();

  /** Number of the last job. */
  private long jobs;

  /** Start of the surges, in milliseconds of the steady clock. */
  private long startMs;

  /** Creates the machines, without any entry instance. */
  GrownSite(long seed) {
    world = new NodeWorld(seed);
    random = new Random(seed);
    world.backend.catalogs = GrownSite::catalog;
    world.backend.machineSize = MACHINE;
    world.backend.lengths = task -> lengths.getOrDefault(task, 0L);
    for (Kind kind : KINDS) {
      IntStream.range(0, kind.machines())
          .forEach(i -> world.backend.server(kind.service() + i, kind.service(), MACHINE));
    }
    IntStream.range(0, SPARE_MACHINES).forEach(i -> world.backend.standby.add("m-spare" + i));
  }

  private static Catalog catalog() {
    List<Queue> queues =
        KINDS.stream()
            .flatMap(
                k ->
                    Stream.of(
                        queue(k.queue(), k.service(), TARGET_MS),
                        queue(k.queue() + "-lasting", k.service(), 2_500)))
            .toList();
    Account account = new Account("a", Set.of(NodeClients.KEY), 1_000, Resources.NONE);
    return Catalog.of(1, queues, List.of(account), Set.of(PlanWorld.SPARE));
  }

  private static Queue queue(String name, String service, long targetMs) {
    return new Queue(
        name, NodeClients.HOST, "/" + name + "/", service, 0, 3, SLACK, targetMs, false, false);
  }

  /**
   * Submits the lasting jobs after half of a time, in milliseconds, and lets them start in the
   * other half.
   */
  void settle(long forMs) {
    world.run(forMs / 2);
    for (Kind kind : KINDS) {
      for (int i = 0; i < LASTING_JOBS; i++) {
        boolean fills = i % 2 == 1;
        lasting.add(submit(kind.queue() + "-lasting", List.of(lasting(fills))));
        world.run(STEP_MS);
      }
    }
    world.run(forMs / 2);
  }

  /**
   * Orders the maintenance of every second machine after a delay, in milliseconds, as operators do
   * to install a kernel.
   */
  void wave(long inMs) {
    List<String> machines = world.backend.servers.values().stream().map(s -> s.machine).toList();
    List<String> half =
        IntStream.range(0, machines.size())
            .filter(i -> i % 2 == 0)
            .mapToObj(machines::get)
            .toList();
    world.backend.parallel = WAVE_PARALLEL;
    WaveOrder order = new WaveOrder(1, half, WAVE_MS, WAVE_PARALLEL);
    world.at(inMs, () -> world.alive().forEach(i -> i.post(new NodeEvent.WaveRead(order))));
  }

  /** Returns the step of a lasting job, which uses idle processors only if {@code fills}. */
  private static StepSpec lasting(boolean fills) {
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
        MAY_MISS);
  }

  /**
   * Submits short jobs while the queues surge in turn.
   *
   * @param forMs time of the surges, in milliseconds
   * @param first number of the queue that surges first
   */
  void turns(long forMs, int first) {
    startMs = world.nowMs();
    long until = startMs + forMs;
    while (world.nowMs() < until) {
      int turn = first + (int) ((world.nowMs() - startMs) / TURN_MS);
      for (int k = 0; k < KINDS.size(); k++) {
        double factor = turn % KINDS.size() == k ? PEAK : REST;
        send(KINDS.get(k), factor);
      }
      world.run(STEP_MS);
    }
  }

  /**
   * Submits a short job with the probability of its arrival in one time step.
   *
   * @param kind the queue
   * @param factor arrival rate as a multiple of the queue's mean
   */
  private void send(Kind kind, double factor) {
    if (random.nextDouble() < factor * kind.perSecond() * STEP_MS / 1_000.0) {
      long chain = 0;
      List<StepSpec> steps = new ArrayList<>();
      int count = 1 + (random.nextDouble() < kind.steps() - 1 ? 1 : 0);
      String job = nextId();
      for (int s = 0; s < count; s++) {
        int width = (int) Math.max(1, vary(WIDTH, 4 * WIDTH));
        long longest = 0;
        for (int i = 0; i < width; i++) {
          long length = (long) vary(kind.taskMs(), 2.5 * kind.taskMs());
          lengths.put(new TaskKey(job, 0, s, i), length);
          longest = Math.max(longest, length);
        }
        chain += longest;
        steps.add(step(kind, width, s));
      }
      long objective = TARGET_MS + (long) (SLACK * chain);
      sent.add(new Sent(submit(kind.queue(), job, steps), kind, world.nowMs(), objective));
    }
  }

  /** Returns a step of a short job that starts after the step before it. */
  private StepSpec step(Kind kind, int width, int number) {
    Resources need =
        new Resources(
            (long) vary(kind.cpu(), 3.0 * kind.cpu()), (long) vary(kind.memory(), 35_000), 0);
    long estimate = (long) vary(kind.taskMs(), 2.5 * kind.taskMs());
    List<Integer> after = number == 0 ? List.of() : List.of(number - 1);
    return new StepSpec(
        width,
        need,
        estimate,
        after,
        false,
        false,
        false,
        "",
        "",
        0,
        false,
        false,
        kind.queue(),
        0,
        false,
        0);
  }

  /** Returns a random size about a mean, from a tenth of the mean to an upper limit. */
  private double vary(double mean, double most) {
    return Math.clamp(mean * (1 + SPREAD * random.nextGaussian()), mean / 10, most);
  }

  /** Returns the id of the next job. */
  private String nextId() {
    return "%016x".formatted(++jobs);
  }

  private NodeClients.Call submit(String queue, List<StepSpec> steps) {
    return submit(queue, nextId(), steps);
  }

  private NodeClients.Call submit(String queue, String job, List<StepSpec> steps) {
    return world.clients.submit(
        world.anyReady(null), queue, job, new JobSpec("text", steps, 1, 0, 0));
  }

  /**
   * Returns the share of the short jobs that were completed within a multiple of their objectives,
   * 1 if there are none.
   *
   * @param objectives the multiple
   * @param fromMs earliest submission, in milliseconds since the start of the surges
   * @param toMs end of the submissions, in milliseconds since the start of the surges
   * @return the share, from 0 to 1
   */
  double completed(double objectives, long fromMs, long toMs) {
    List<Sent> due =
        sent.stream()
            .filter(s -> s.sentMs() >= startMs + fromMs && s.sentMs() < startMs + toMs)
            .toList();
    long done = due.stream().filter(s -> tookMs(s) <= objectives * s.objectiveMs()).count();
    return due.isEmpty() ? 1 : (double) done / due.size();
  }

  /** Returns the share of all short jobs that were completed while they still count. */
  double completed() {
    return completed(LATE, 0, Long.MAX_VALUE / 2);
  }

  /**
   * Returns the time from submission to completion, in milliseconds; a very long time for a job
   * that is not completed.
   */
  private long tookMs(Sent job) {
    Long at = world.completedMs.get(job.call().job());
    return at == null ? Long.MAX_VALUE / 2 : at - job.sentMs();
  }

  /** Returns the number of log events of a name over all entry instances. */
  int noted(String event) {
    return world.instances.stream().mapToInt(i -> i.noted(event)).sum();
  }

  /** Returns a summary to print beside a failed assertion. */
  String summary() {
    Map<String, String> parts = new LinkedHashMap<>();
    for (Kind kind : KINDS) {
      List<Sent> mine = sent.stream().filter(s -> s.kind() == kind).toList();
      long inTime = mine.stream().filter(s -> tookMs(s) <= s.objectiveMs()).count();
      long late = mine.stream().filter(s -> tookMs(s) <= LATE * s.objectiveMs()).count();
      parts.put(kind.queue(), inTime + " in time, " + late + " within three objectives of " + mine.size());
    }
    parts.put("expired", Integer.toString(noted("call-expired")));
    parts.put("unreachable", Integer.toString(noted("planner-unreachable")));
    parts.put("elections", Integer.toString(noted("planner-elected")));
    parts.put("moves", Integer.toString(world.backend.moves.size()));
    NodeInstance planner = world.planner();
    if (planner != null) {
      parts.put("planner", planner.name + " with " + planner.cores + " cores");
      parts.put("longest wait of an event in ms", Long.toString(planner.longestWaitMs));
    }
    return parts.toString();
  }
}
