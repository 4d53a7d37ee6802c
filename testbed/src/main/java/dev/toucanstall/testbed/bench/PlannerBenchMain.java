package dev.toucanstall.testbed.bench;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.sun.management.ThreadMXBean;
import dev.toucanstall.core.job.JobCall;
import dev.toucanstall.core.job.JobRecord;
import dev.toucanstall.core.plan.Now;
import dev.toucanstall.core.plan.PassProbe;
import dev.toucanstall.core.plan.Plan;
import dev.toucanstall.core.plan.PlanEffect;
import dev.toucanstall.core.plan.PlanEvent;
import dev.toucanstall.core.plan.PlanReducer;
import dev.toucanstall.wire.job.JobCodec;
import java.lang.management.ManagementFactory;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Measures the planner's reducer alone: processor time of the thread and allocation by kind of
 * event, by part of a pass, and for each second of a day in virtual time.
 */
public final class PlannerBenchMain {

  private static final long EPOCH = 1;
  private static final double MICRO_NS = 1_000;
  private static final double SECOND_MS = 1_000;

  /** Time for the lasting jobs to be at work before others are handed in, in milliseconds. */
  private static final long LEAD_MS = 4_000;

  /** Time between two ticks of the control loop, in milliseconds. */
  private static final long TICK_MS = 20;

  /** Part of the machines that are switched off. */
  private static final double SPARE_PART = 0.16;

  /** How to run. */
  private static final class Options {

    @Parameter(names = "--servers", description = "Backend servers")
    int servers = 247;

    @Parameter(names = "--load", description = "Short jobs as a part of the usual")
    double load = 1;

    @Parameter(names = "--warm-ms", description = "Traffic before the measurement, in milliseconds")
    long warmMs = 16_000;

    @Parameter(names = "--run-ms", description = "Length of the measurement, in milliseconds")
    long runMs = 16_000;

    @Parameter(names = "--seed", description = "The seed of the jobs")
    long seed = 1;

    @Parameter(names = "--out", description = "The result file")
    String out = "";
  }

  /** What was used for one kind of work. */
  private static final class Sum {

    long count;
    long ns;
    long bytes;
    long ownNs;
  }

  private final ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
  private final VirtualTime time = new VirtualTime();
  private final Map<String, Sum> events = new TreeMap<>();
  private final Map<PassProbe.Part, Sum> parts = new EnumMap<>(PassProbe.Part.class);
  private Sum stored = new Sum();
  private final TreeMap<String, Double> values = new TreeMap<>();
  private final Options options;
  private final PlannerFleet fleet;
  private final PlannerLoad load;
  private final Plan plan;
  private long tickets;
  private long partBegan;
  private long ownNs;
  private long mostOpen;

  private PlannerBenchMain(Options options) {
    this.options = options;
    plan = new Plan(EPOCH, 1, PlannerLoad.catalog(), List.of(), now());
    load = new PlannerLoad(time, options.seed, options.servers, options.load, this::call);
    fleet = new PlannerFleet(time, options.seed, load::step, this::decide);
  }

  /**
   * Runs the benchmark.
   *
   * @param args see the parameters
   */
  public static void main(String[] args) {
    Options options = new Options();
    JCommander.newBuilder().addObject(options).build().parse(args);
    new PlannerBenchMain(options).run(String.join(" ", args));
  }

  private Now now() {
    return new Now(time.nowMs(), time.nowMs());
  }

  private void run(String command) {
    PlannerLoad.KINDS.forEach(
        kind ->
            fleet.add(
                kind.service(), Math.max(2, (int) Math.round(options.servers * kind.part()))));
    fleet.add(PlannerLoad.SPARE, (int) Math.round(options.servers * SPARE_PART));
    plan.setProbe(this::partOver);
    fleet.list(true);
    tick();
    time.run(LEAD_MS);
    load.stay();
    time.run(LEAD_MS);
    load.begin();
    time.run(options.warmMs);
    events.clear();
    parts.clear();
    mostOpen = 0;
    stored = new Sum();
    final long startsBefore = fleet.starts;
    final long looksBefore = plan.serversExamined();
    time.run(options.runMs);
    values.put("looks.per.s", (plan.serversExamined() - looksBefore) / (options.runMs / SECOND_MS));
    values.put("starts.per.s", (fleet.starts - startsBefore) / (options.runMs / SECOND_MS));
    report(command);
  }

  private void tick() {
    decide(new PlanEvent.Tick());
    time.in(TICK_MS, this::tick);
  }

  private void call(JobCall call) {
    decide(new PlanEvent.Called(++tickets, call));
  }

  private void decide(PlanEvent event) {
    final long bytes = threads.getCurrentThreadAllocatedBytes();
    final long began = threads.getCurrentThreadCpuTime();
    partBegan = began;
    final List<PlanEffect> effects = PlanReducer.reduce(plan, event, now());
    Sum sum = events.computeIfAbsent(event.getClass().getSimpleName(), name -> new Sum());
    sum.ns += threads.getCurrentThreadCpuTime() - began;
    sum.ownNs += ownNs;
    sum.bytes += threads.getCurrentThreadAllocatedBytes() - bytes;
    sum.count++;
    mostOpen = Math.max(mostOpen, plan.openJobs());
    effects.forEach(this::store);
    effects.forEach(fleet::carryOut);
  }

  /** Encodes what is stored, as the control thread does. */
  private void store(PlanEffect effect) {
    if (effect instanceof PlanEffect.Append append) {
      final long began = threads.getCurrentThreadCpuTime();
      for (JobRecord record : append.records()) {
        stored.bytes += JobCodec.RECORDS.encode(record).length;
        stored.count++;
      }
      stored.ns += threads.getCurrentThreadCpuTime() - began;
    }
  }

  private void partOver(PassProbe.Part part) {
    long now = threads.getCurrentThreadCpuTime();
    Sum sum = parts.computeIfAbsent(part, p -> new Sum());
    sum.ns += now - partBegan;
    sum.count++;
    ownNs = part == PassProbe.Part.EVENT ? now - partBegan : ownNs;
    partBegan = now;
  }

  private void report(String command) {
    double seconds = options.runMs / SECOND_MS;
    events.forEach(
        (name, sum) -> {
          String prefix = "event." + name.toLowerCase(Locale.ROOT);
          values.put(prefix + ".per.s", sum.count / seconds);
          values.put(prefix + ".us", sum.ns / MICRO_NS / sum.count);
          values.put(prefix + ".own.us", sum.ownNs / MICRO_NS / sum.count);
          values.put(prefix + ".allocated.kb", sum.bytes / SECOND_MS / sum.count);
        });
    parts.forEach(
        (part, sum) -> {
          String prefix = "part." + part.name().toLowerCase(Locale.ROOT);
          values.put(prefix + ".per.s", sum.count / seconds);
          values.put(prefix + ".us", sum.ns / MICRO_NS / sum.count);
          values.put(prefix + ".ms.per.s", sum.ns / MICRO_NS / SECOND_MS / seconds);
        });
    long ns = events.values().stream().mapToLong(s -> s.ns).sum();
    long bytes = events.values().stream().mapToLong(s -> s.bytes).sum();
    long count = events.values().stream().mapToLong(s -> s.count).sum();
    values.put("all.ms.per.s", ns / MICRO_NS / SECOND_MS / seconds);
    values.put("all.allocated.kb.per.s", bytes / SECOND_MS / seconds);
    values.put("all.event.us", ns / MICRO_NS / count);
    values.put("all.events.per.s", count / seconds);
    values.put("stored.records.per.s", stored.count / seconds);
    values.put("stored.kb.per.s", stored.bytes / SECOND_MS / seconds);
    values.put("stored.record.us", stored.ns / MICRO_NS / stored.count);
    values.put("stored.ms.per.s", stored.ns / MICRO_NS / SECOND_MS / seconds);
    values.put("jobs.open.most", (double) mostOpen);
    values.forEach((name, value) -> System.out.printf("%-36s %.1f%n", name, value));
    if (!options.out.isEmpty()) {
      new ResultFile("planner", command, options.seed, values).write(options.out);
    }
  }
}
