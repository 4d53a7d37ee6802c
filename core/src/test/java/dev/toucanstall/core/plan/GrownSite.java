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
 * A deployment of the grown size: four pools and a spare one, a queue of short jobs and one of
 * lasting jobs for each, whose short jobs come by turns.
 */
final class GrownSite {

  /** Length of a queue's turn, in milliseconds. */
  static final long TURN_MS = 4_000;

  /** What a queue asks for in its turn and between, as a multiple of its mean. */
  private static final double PEAK = 4;

  private static final double REST = 0.05;

  private static final Resources MACHINE = new Resources(64_000, 131_072, 0);
  private static final int SPARE_MACHINES = 40;
  private static final int LASTING_TASKS = 24;
  private static final int MAY_MISS = 4;

  /** Lasting jobs of each service, half of which fill. */
  private static final int LASTING_JOBS = 4;

  private static final int WAVE_PARALLEL = 15;
  private static final long WAVE_MS = 27_000;
  private static final double SLACK = 1.6;
  private static final long TARGET_MS = 600;

  /** How far behind its objective a job may end and still counts, as a multiple of it. */
  private static final int LATE = 3;

  private static final double SPREAD = 0.5;
  private static final double WIDTH = 8;
  private static final long STEP_MS = 5;

  /** A queue of short jobs: how many come a second, and what they are like. */
  record Kind(
      String queue,
      String service,
      int machines,
      double perSecond,
      double steps,
      long taskMs,
      long cpu,
      long memory) {}

  private static final List<Kind> KINDS =
      List.of(
          new Kind("tiles", "preview", 44, 11.8, 1.6, 800, 8_100, 12_000),
          new Kind("sectors", "sector", 49, 1.82, 2, 2_100, 18_000, 32_000),
          new Kind("gaps", "gapwatch", 54, 14.7, 1.6, 800, 8_100, 12_000),
          new Kind("renders", "planroom", 60, 2.22, 2, 2_100, 18_000, 32_000));

  /** A short job that was handed in. */
  record Sent(NodeClients.Call call, Kind kind, long sentMs, long objectiveMs) {}

  final NodeWorld world;
  final List<Sent> sent = new ArrayList<>();
  final List<NodeClients.Call> lasting = new ArrayList<>();
  private final Random random;
  private final Map<TaskKey, Long> lengths = new HashMap<>();
  private long jobs;
  private long startMs;

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

  /** Hands the lasting jobs in and lets the deployment settle. */
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

  /** Has every second machine maintained, as operators do with a new kernel. */
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

  /** Lets clients hand short jobs in, one queue after the other having its turn. */
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

  /** Varies a mean, within a tenth of it and a bound. */
  private double vary(double mean, double most) {
    return Math.clamp(mean * (1 + SPREAD * random.nextGaussian()), mean / 10, most);
  }

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

  /** Returns the part of the short jobs that was completed within some of their objectives. */
  double completed(double objectives, long fromMs, long toMs) {
    List<Sent> due =
        sent.stream()
            .filter(s -> s.sentMs() >= startMs + fromMs && s.sentMs() < startMs + toMs)
            .toList();
    long done = due.stream().filter(s -> tookMs(s) <= objectives * s.objectiveMs()).count();
    return due.isEmpty() ? 1 : (double) done / due.size();
  }

  /** Returns the part that was completed before it counts for nothing. */
  double completed() {
    return completed(LATE, 0, Long.MAX_VALUE / 2);
  }

  private long tookMs(Sent job) {
    Long at = world.completedMs.get(job.call().job());
    return at == null ? Long.MAX_VALUE / 2 : at - job.sentMs();
  }

  /** Returns how often all entry instances together noted an event. */
  int noted(String event) {
    return world.instances.stream().mapToInt(i -> i.noted(event)).sum();
  }

  /** Returns a summary to print beside a failed expectation. */
  String summary() {
    Map<String, String> parts = new LinkedHashMap<>();
    for (Kind kind : KINDS) {
      List<Sent> mine = sent.stream().filter(s -> s.kind() == kind).toList();
      long inTime = mine.stream().filter(s -> tookMs(s) <= s.objectiveMs()).count();
      long late = mine.stream().filter(s -> tookMs(s) <= LATE * s.objectiveMs()).count();
      parts.put(kind.queue(), inTime + " in time, " + late + " within three of " + mine.size());
    }
    parts.put("expired", Integer.toString(noted("call-expired")));
    parts.put("unreachable", Integer.toString(noted("planner-unreachable")));
    parts.put("elections", Integer.toString(noted("planner-elected")));
    parts.put("moves", Integer.toString(world.backend.moves.size()));
    NodeInstance planner = world.planner();
    if (planner != null) {
      parts.put("planner", planner.name + " with " + planner.cores + " cores");
      parts.put("longest wait of an event, ms", Long.toString(planner.longestWaitMs));
    }
    return parts.toString();
  }
}
