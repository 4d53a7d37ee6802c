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
 * Measures how the control thread spends its time and logs a summary, every second while this entry
 * instance plans and every five seconds otherwise. The control thread records; any thread may read
 * the histograms.
 */
final class ControlLoad implements LoopObserver<Node, NodeEvent> {

  private static final long PLANNER_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final long DEFAULT_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(5);

  private final DurationHistogram eventWaits = new DurationHistogram();
  private final DurationHistogram passTimes = new DurationHistogram();
  private final HistogramsByKind decisionTimes = new HistogramsByKind();
  private final HistogramsByKind effectTimes = new HistogramsByKind();
  private final List<GarbageCollectorMXBean> collectors =
      ManagementFactory.getGarbageCollectorMXBeans();
  private final CallLatencies callLatencies = new CallLatencies();
  private final IntSupplier queuedEvents;
  private final LongSupplier controlCpuNanos;
  private final Supplier<Map<String, Long>> droppedLines;
  private final Consumer<LogLine> summaryLog;
  private volatile long configurationReadNanos = System.nanoTime();
  private volatile Optional<PlanLoad> planLoad = Optional.empty();
  private Map<String, Long> lastDroppedLines = Map.of();
  private long lastPassCount;
  private long lastCpuNanos;
  private long lastCollectorMillis;
  private long lastSummaryNanos;
  private boolean started;

  /**
   * Creates the observer.
   *
   * @param queuedEvents supplies the number of events in the queue of the control thread
   * @param controlCpuNanos supplies the CPU time of the control thread, in nanoseconds
   * @param droppedLines supplies the number of log lines dropped since the start, by log event
   * @param summaryLog writes a log line that is exempt from the rate limit
   */
  ControlLoad(
      IntSupplier queuedEvents,
      LongSupplier controlCpuNanos,
      Supplier<Map<String, Long>> droppedLines,
      Consumer<LogLine> summaryLog) {
    this.queuedEvents = queuedEvents;
    this.controlCpuNanos = controlCpuNanos;
    this.droppedLines = droppedLines;
    this.summaryLog = summaryLog;
  }

  @Override
  public void eventHandled(
      Node node,
      NodeEvent event,
      long postedNanos,
      long begunNanos,
      long decidedNanos,
      long endedNanos) {
    eventWaits.record(begunNanos - postedNanos);
    decisionTimes.record(kind(event), decidedNanos - begunNanos);
    long passCount = node.passes();
    callLatencies.eventHandled(event, postedNanos);
    if (event instanceof NodeEvent.CatalogRead) {
      configurationReadNanos = postedNanos;
    }
    if (passCount != lastPassCount) {
      lastPassCount = passCount;
      passTimes.record(decidedNanos - begunNanos);
    }
    if (!started) {
      started = true;
      lastSummaryNanos = begunNanos;
    }
    if (endedNanos - lastSummaryNanos
        >= (node.isPlanner() ? PLANNER_INTERVAL_NANOS : DEFAULT_INTERVAL_NANOS)) {
      logSummary(node, endedNanos - lastSummaryNanos);
      lastSummaryNanos = endedNanos;
    }
  }

  private static String kind(NodeEvent event) {
    Object unwrapped = event instanceof NodeEvent.ForPlan forPlan ? forPlan.event() : event;
    return unwrapped.getClass().getSimpleName();
  }

  /** Records the time that the control thread took to dispatch an effect. */
  void effectDispatched(NodeEffect effect, long startNanos, long endNanos) {
    callLatencies.effectDispatched(effect, startNanos);
    final long nanos = endNanos - startNanos;
    Object unwrapped =
        effect instanceof NodeEffect.OfPlan planEffect ? planEffect.effect() : effect;
    effectTimes.record(unwrapped.getClass().getSimpleName(), nanos);
  }

  private void logSummary(Node node, long intervalNanos) {
    DurationHistogram.Interval recentWaits = eventWaits.takeInterval();
    DurationHistogram.Interval recentPasses = passTimes.takeInterval();
    HistogramsByKind.Interval recentDecisions = decisionTimes.takeInterval();
    HistogramsByKind.Interval recentEffects = effectTimes.takeInterval();
    LogLine line =
        LogLine.of("control-load")
            .with("plans", node.isPlanner())
            .with("cores", node.size().cores())
            .with("span-ms", millis(intervalNanos))
            .with("events", recentWaits.count())
            .with("wait-mean-us", micros(recentWaits.meanNanos()))
            .with("wait-longest-us", micros(recentWaits.longestNanos()))
            .with("queued", queuedEvents.getAsInt())
            .with("decided-ms", millis(recentDecisions.totalNanos()))
            .with("decision-longest-us", micros(recentDecisions.longestNanos()))
            .with("decision-longest", recentDecisions.longestKind())
            .with("decisions-most-ms", recentDecisions.largestKinds())
            .with("effects-ms", millis(recentEffects.totalNanos()))
            .with("effect-longest-us", micros(recentEffects.longestNanos()))
            .with("effect-longest", recentEffects.longestKind())
            .with("effects-most-ms", recentEffects.largestKinds())
            .with("processor-ms", millis(takeCpuNanos()))
            .with("collector-ms", takeCollectorMillis());
    planLoad = node.load();
    planLoad.ifPresent(load -> addPlanFields(line, recentPasses, load));
    summaryLog.accept(line);
    logDroppedLines();
  }

  /** Logs the number of lines dropped since the last summary, by log event, if there are any. */
  private void logDroppedLines() {
    Map<String, Long> counts = droppedLines.get();
    LogLine line = LogLine.of("lines-dropped");
    boolean anyDropped = false;
    for (Map.Entry<String, Long> entry : counts.entrySet()) {
      long newlyDropped = entry.getValue() - lastDroppedLines.getOrDefault(entry.getKey(), 0L);
      if (newlyDropped > 0) {
        line.with(entry.getKey(), newlyDropped);
        anyDropped = true;
      }
    }
    lastDroppedLines = counts;
    if (anyDropped) {
      summaryLog.accept(line);
    }
  }

  /** Returns the times that events wait in the queue. */
  DurationHistogram eventWaits() {
    return eventWaits;
  }

  /** Returns the times of decisions that include a placement pass. */
  DurationHistogram passTimes() {
    return passTimes;
  }

  /** Returns the times of decisions, by the kind of event. */
  HistogramsByKind decisionTimes() {
    return decisionTimes;
  }

  /** Returns the times to dispatch effects, by kind of effect. */
  HistogramsByKind effectTimes() {
    return effectTimes;
  }

  /** Returns the time since the configuration was last read from the store, in seconds. */
  double configurationAgeSeconds() {
    return (System.nanoTime() - configurationReadNanos) / 1e9;
  }

  CallLatencies callLatencies() {
    return callLatencies;
  }

  /** Returns the planner's load at the last summary, empty if this instance did not plan. */
  Optional<PlanLoad> planLoad() {
    return planLoad;
  }

  private static void addPlanFields(
      LogLine line, DurationHistogram.Interval recentPasses, PlanLoad load) {
    line.with("passes", recentPasses.count())
        .with("pass-ms", millis(recentPasses.totalNanos()))
        .with("pass-mean-us", micros(recentPasses.meanNanos()))
        .with("pass-longest-us", micros(recentPasses.longestNanos()))
        .with("open-jobs", load.openJobs())
        .with("servers", load.servers())
        .with("servers-in-use", load.serversInUse())
        .with("waiting", load.waiting())
        .with("ordered", load.ordered())
        .with("running", load.running())
        .with("stopping", load.stopping())
        .with("job-bytes", load.jobBytes());
  }

  private long takeCpuNanos() {
    long total = controlCpuNanos.getAsLong();
    long increase = total - lastCpuNanos;
    lastCpuNanos = total;
    return increase;
  }

  private long takeCollectorMillis() {
    long total = collectors.stream().mapToLong(GarbageCollectorMXBean::getCollectionTime).sum();
    long increase = total - lastCollectorMillis;
    lastCollectorMillis = total;
    return increase;
  }

  private static long millis(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(nanos);
  }

  private static long micros(long nanos) {
    return TimeUnit.NANOSECONDS.toMicros(nanos);
  }
}
