package dev.toucanstall.entry.node;

import dev.toucanstall.core.node.Node;
import dev.toucanstall.core.node.NodeEffect;
import dev.toucanstall.core.node.NodeEvent;
import dev.toucanstall.core.plan.PlanLoad;
import dev.toucanstall.runtime.log.LogLine;
import dev.toucanstall.runtime.loop.LoopObserver;
import dev.toucanstall.runtime.meter.DurationHistogram;
import dev.toucanstall.runtime.meter.HistogramsByKind;
import java.lang.management.GarbageCollectorMXBean;
import java.lang.management.ManagementFactory;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Measures what the control thread does with its time, and tells it in a line: each second while
 * this entry instance plans, each five seconds otherwise. Written by the control thread; the meters
 * may be read by any.
 */
final class ControlLoad implements LoopObserver<Node, NodeEvent> {

  private static final long PLANNING_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final long OTHERWISE_NANOS = TimeUnit.SECONDS.toNanos(5);

  private final DurationHistogram waits = new DurationHistogram();
  private final DurationHistogram passes = new DurationHistogram();
  private final HistogramsByKind decisions = new HistogramsByKind();
  private final HistogramsByKind effects = new HistogramsByKind();
  private final List<GarbageCollectorMXBean> collectors =
      ManagementFactory.getGarbageCollectorMXBeans();
  private final CallTimes calls = new CallTimes();
  private final IntSupplier queued;
  private final LongSupplier cpuNanos;
  private final Supplier<Map<String, Long>> dropped;
  private final Consumer<LogLine> lines;
  private volatile long configurationNanos = System.nanoTime();
  private volatile Optional<PlanLoad> planLoad = Optional.empty();
  private Map<String, Long> lastDropped = Map.of();
  private long lastPasses;
  private long lastCpuNanos;
  private long lastCollectorMillis;
  private long lastLineNanos;
  private boolean begun;

  /**
   * Creates the observer.
   *
   * @param queued how many events wait
   * @param cpuNanos processor time of the control thread in nanoseconds
   * @param dropped how many lines were dropped since the start, by event
   * @param lines writes a line, also if others are dropped
   */
  ControlLoad(
      IntSupplier queued,
      LongSupplier cpuNanos,
      Supplier<Map<String, Long>> dropped,
      Consumer<LogLine> lines) {
    this.queued = queued;
    this.cpuNanos = cpuNanos;
    this.dropped = dropped;
    this.lines = lines;
  }

  @Override
  public void eventHandled(
      Node node,
      NodeEvent event,
      long postedNanos,
      long begunNanos,
      long decidedNanos,
      long endedNanos) {
    waits.record(begunNanos - postedNanos);
    decisions.record(kind(event), decidedNanos - begunNanos);
    long passesNow = node.passes();
    calls.took(event, postedNanos);
    if (event instanceof NodeEvent.CatalogRead) {
      configurationNanos = postedNanos;
    }
    if (passesNow != lastPasses) {
      lastPasses = passesNow;
      passes.record(decidedNanos - begunNanos);
    }
    if (!begun) {
      begun = true;
      lastLineNanos = begunNanos;
    }
    if (endedNanos - lastLineNanos >= (node.isPlanner() ? PLANNING_NANOS : OTHERWISE_NANOS)) {
      tell(node, endedNanos - lastLineNanos);
      lastLineNanos = endedNanos;
    }
  }

  private static String kind(NodeEvent event) {
    Object told = event instanceof NodeEvent.ForPlan forPlan ? forPlan.event() : event;
    return told.getClass().getSimpleName();
  }

  /** Takes note of an effect that was handed over, on the control thread. */
  void carriedOut(NodeEffect effect, long begunNanos, long endedNanos) {
    calls.gave(effect, begunNanos);
    final long nanos = endedNanos - begunNanos;
    Object wanted = effect instanceof NodeEffect.OfPlan ofPlan ? ofPlan.effect() : effect;
    effects.record(wanted.getClass().getSimpleName(), nanos);
  }

  private void tell(Node node, long spanNanos) {
    DurationHistogram.Interval waited = waits.takeInterval();
    DurationHistogram.Interval passed = passes.takeInterval();
    HistogramsByKind.Interval decided = decisions.takeInterval();
    HistogramsByKind.Interval carriedOut = effects.takeInterval();
    LogLine line =
        LogLine.of("control-load")
            .with("plans", node.isPlanner())
            .with("cores", node.size().cores())
            .with("span-ms", millis(spanNanos))
            .with("events", waited.count())
            .with("wait-mean-us", micros(waited.meanNanos()))
            .with("wait-longest-us", micros(waited.longestNanos()))
            .with("queued", queued.getAsInt())
            .with("decided-ms", millis(decided.totalNanos()))
            .with("decision-longest-us", micros(decided.longestNanos()))
            .with("decision-longest", decided.longestKind())
            .with("decisions-most-ms", decided.largestKinds())
            .with("effects-ms", millis(carriedOut.totalNanos()))
            .with("effect-longest-us", micros(carriedOut.longestNanos()))
            .with("effect-longest", carriedOut.longestKind())
            .with("effects-most-ms", carriedOut.largestKinds())
            .with("processor-ms", millis(sinceLastCpu()))
            .with("collector-ms", sinceLastCollector());
    planLoad = node.load();
    planLoad.ifPresent(load -> addPlan(line, passed, load));
    lines.accept(line);
    tellDropped();
  }

  /** Tells how many lines were dropped since it was last told, by event. */
  private void tellDropped() {
    Map<String, Long> now = dropped.get();
    LogLine line = LogLine.of("lines-dropped");
    boolean any = false;
    for (Map.Entry<String, Long> entry : now.entrySet()) {
      long fresh = entry.getValue() - lastDropped.getOrDefault(entry.getKey(), 0L);
      if (fresh > 0) {
        line.with(entry.getKey(), fresh);
        any = true;
      }
    }
    lastDropped = now;
    if (any) {
      lines.accept(line);
    }
  }

  /** Returns how long events wait in the queue. */
  DurationHistogram waits() {
    return waits;
  }

  /** Returns how long decisions with a pass take. */
  DurationHistogram passes() {
    return passes;
  }

  /** Returns how long decisions take, by the kind of their event. */
  HistogramsByKind decisions() {
    return decisions;
  }

  /** Returns how long effects take to hand over, by kind. */
  HistogramsByKind effects() {
    return effects;
  }

  /** Returns how long ago the store last told of the configuration, in seconds. */
  double configurationAgeSeconds() {
    return (System.nanoTime() - configurationNanos) / 1e9;
  }

  /** Returns how long calls take. */
  CallTimes calls() {
    return calls;
  }

  /** Returns what the planner looked after when it was last told, empty if there is none here. */
  Optional<PlanLoad> planLoad() {
    return planLoad;
  }

  private static void addPlan(LogLine line, DurationHistogram.Interval passed, PlanLoad load) {
    line.with("passes", passed.count())
        .with("pass-ms", millis(passed.totalNanos()))
        .with("pass-mean-us", micros(passed.meanNanos()))
        .with("pass-longest-us", micros(passed.longestNanos()))
        .with("open-jobs", load.openJobs())
        .with("servers", load.servers())
        .with("servers-in-use", load.serversInUse())
        .with("waiting", load.waiting())
        .with("ordered", load.ordered())
        .with("running", load.running())
        .with("stopping", load.stopping());
  }

  private long sinceLastCpu() {
    long used = cpuNanos.getAsLong();
    long since = used - lastCpuNanos;
    lastCpuNanos = used;
    return since;
  }

  private long sinceLastCollector() {
    long spent = collectors.stream().mapToLong(GarbageCollectorMXBean::getCollectionTime).sum();
    long since = spent - lastCollectorMillis;
    lastCollectorMillis = spent;
    return since;
  }

  private static long millis(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(nanos);
  }

  private static long micros(long nanos) {
    return TimeUnit.NANOSECONDS.toMicros(nanos);
  }
}
