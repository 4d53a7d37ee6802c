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
 * Benchmarks the planner's reducer alone, in simulated time: processor time of the thread and
 * allocation, by kind of event, by part of a placement pass, and for each second.
 */
public final class PlannerBenchMain {

  private static final long EPOCH = 1;
  private static final double NANOS_PER_MICRO = 1_000;

  /** Bytes in a kilobyte, milliseconds in a second, microseconds in a millisecond. */
  private static final double KILO = 1_000;

  /**
   * Time before the long-running jobs are submitted, and again for their tasks to start before the
   * short jobs, in milliseconds.
   */
  private static final long LEAD_TIME_MS = 4_000;

  /** Time between two ticks of the control loop, in milliseconds. */
  private static final long TICK_INTERVAL_MS = 20;

  /** Machines that are switched off, as a share of those that are on. */
  private static final double SPARE_SHARE = 0.16;

  /** Command-line options. */
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

  /** Processor time and allocation of one kind of work. */
  private static final class Usage {

    long count;
    long cpuNanos;
    long bytes;
    long eventPartNanos;
  }

  private final ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
  private final SimulatedClock clock = new SimulatedClock();
  private final Map<String, Usage> events = new TreeMap<>();
  private final Map<PassProbe.Part, Usage> parts = new EnumMap<>(PassProbe.Part.class);
  private Usage storedRecords = new Usage();
  private final TreeMap<String, Double> values = new TreeMap<>();
  private final Options options;
  private final PlannerFleet fleet;
  private final PlannerLoad load;
  private final Plan plan;
  private long tickets;
  private long partStartNanos;
  private long eventPartNanos;
  private long maxOpenJobs;

  private PlannerBenchMain(Options options) {
    this.options = options;
    plan = new Plan(EPOCH, 1, PlannerLoad.catalog(), List.of(), now());
    load = new PlannerLoad(clock, options.seed, options.servers, options.load, this::submitCall);
    fleet = new PlannerFleet(clock, options.seed, load::step, this::reduce);
  }

  /**
   * Runs the benchmark.
   *
   * @param args command-line options
   */
  public static void main(String[] args) {
    Options options = new Options();
    JCommander.newBuilder().addObject(options).build().parse(args);
    new PlannerBenchMain(options).run(String.join(" ", args));
  }

  private Now now() {
    return new Now(clock.nowMs(), clock.nowMs());
  }

  private void run(String command) {
    PlannerLoad.PROFILES.forEach(
        profile ->
            fleet.add(
                profile.service(),
                Math.max(2, (int) Math.round(options.servers * profile.machineShare()))));
    fleet.add(PlannerLoad.SPARE, (int) Math.round(options.servers * SPARE_SHARE));
    plan.setProbe(this::onPartFinished);
    fleet.listServers(true);
    tick();
    clock.advance(LEAD_TIME_MS);
    load.submitLongRunningJobs();
    clock.advance(LEAD_TIME_MS);
    load.startShortJobs();
    clock.advance(options.warmMs);
    events.clear();
    parts.clear();
    maxOpenJobs = 0;
    storedRecords = new Usage();
    final long startsBefore = fleet.startCount;
    final long examinedBefore = plan.serversExamined();
    clock.advance(options.runMs);
    values.put("looks.per.s", (plan.serversExamined() - examinedBefore) / (options.runMs / KILO));
    values.put("starts.per.s", (fleet.startCount - startsBefore) / (options.runMs / KILO));
    report(command);
  }

  private void tick() {
    reduce(new PlanEvent.Tick());
    clock.schedule(TICK_INTERVAL_MS, this::tick);
  }

  private void submitCall(JobCall call) {
    reduce(new PlanEvent.Called(++tickets, call));
  }

  private void reduce(PlanEvent event) {
    final long bytesBefore = threads.getCurrentThreadAllocatedBytes();
    final long startNanos = threads.getCurrentThreadCpuTime();
    partStartNanos = startNanos;
    final List<PlanEffect> effects = PlanReducer.reduce(plan, event, now());
    Usage usage = events.computeIfAbsent(event.getClass().getSimpleName(), name -> new Usage());
    usage.cpuNanos += threads.getCurrentThreadCpuTime() - startNanos;
    usage.eventPartNanos += eventPartNanos;
    usage.bytes += threads.getCurrentThreadAllocatedBytes() - bytesBefore;
    usage.count++;
    maxOpenJobs = Math.max(maxOpenJobs, plan.openJobs());
    effects.forEach(this::store);
    effects.forEach(fleet::carryOut);
  }

  /** Encodes the records of an append, as the control thread does. */
  private void store(PlanEffect effect) {
    if (effect instanceof PlanEffect.Append append) {
      final long startNanos = threads.getCurrentThreadCpuTime();
      for (JobRecord record : append.records()) {
        storedRecords.bytes += JobCodec.RECORDS.encode(record).length;
        storedRecords.count++;
      }
      storedRecords.cpuNanos += threads.getCurrentThreadCpuTime() - startNanos;
    }
  }

  private void onPartFinished(PassProbe.Part part) {
    long now = threads.getCurrentThreadCpuTime();
    Usage usage = parts.computeIfAbsent(part, p -> new Usage());
    usage.cpuNanos += now - partStartNanos;
    usage.count++;
    eventPartNanos = part == PassProbe.Part.EVENT ? now - partStartNanos : eventPartNanos;
    partStartNanos = now;
  }

  private void report(String command) {
    double seconds = options.runMs / KILO;
    events.forEach(
        (name, usage) -> {
          String prefix = "event." + name.toLowerCase(Locale.ROOT);
          values.put(prefix + ".per.s", usage.count / seconds);
          values.put(prefix + ".us", usage.cpuNanos / NANOS_PER_MICRO / usage.count);
          values.put(prefix + ".own.us", usage.eventPartNanos / NANOS_PER_MICRO / usage.count);
          values.put(prefix + ".allocated.kb", usage.bytes / KILO / usage.count);
        });
    parts.forEach(
        (part, usage) -> {
          String prefix = "part." + part.name().toLowerCase(Locale.ROOT);
          values.put(prefix + ".per.s", usage.count / seconds);
          values.put(prefix + ".us", usage.cpuNanos / NANOS_PER_MICRO / usage.count);
          values.put(prefix + ".ms.per.s", usage.cpuNanos / NANOS_PER_MICRO / KILO / seconds);
        });
    long cpuNanos = events.values().stream().mapToLong(s -> s.cpuNanos).sum();
    long bytes = events.values().stream().mapToLong(s -> s.bytes).sum();
    long count = events.values().stream().mapToLong(s -> s.count).sum();
    values.put("all.ms.per.s", cpuNanos / NANOS_PER_MICRO / KILO / seconds);
    values.put("all.allocated.kb.per.s", bytes / KILO / seconds);
    values.put("all.event.us", cpuNanos / NANOS_PER_MICRO / count);
    values.put("all.events.per.s", count / seconds);
    values.put("stored.records.per.s", storedRecords.count / seconds);
    values.put("stored.kb.per.s", storedRecords.bytes / KILO / seconds);
    values.put("stored.record.us", storedRecords.cpuNanos / NANOS_PER_MICRO / storedRecords.count);
    values.put("stored.ms.per.s", storedRecords.cpuNanos / NANOS_PER_MICRO / KILO / seconds);
    values.put("jobs.open.most", (double) maxOpenJobs);
    values.forEach((name, value) -> System.out.printf("%-36s %.1f%n", name, value));
    if (!options.out.isEmpty()) {
      new ResultFile("planner", command, options.seed, values).write(options.out);
    }
  }
}
