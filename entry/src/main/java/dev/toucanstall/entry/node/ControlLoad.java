package dev.toucanstall.entry.node;

import dev.toucanstall.core.model.InstanceSize;
import dev.toucanstall.core.node.Node;
import dev.toucanstall.core.node.NodeEvent;
import dev.toucanstall.core.plan.PlanLoad;
import dev.toucanstall.runtime.log.LogLine;
import dev.toucanstall.runtime.loop.LoopObserver;
import dev.toucanstall.runtime.meter.TimeMeter;
import java.lang.management.GarbageCollectorMXBean;
import java.lang.management.ManagementFactory;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

/**
 * Measures what the control thread does with its time, and tells it in a line: each second while
 * this entry instance plans, each five seconds otherwise. Written by the control thread; the meters
 * may be read by any.
 */
final class ControlLoad implements LoopObserver<Node, NodeEvent> {

  private static final long PLANNING_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final long OTHERWISE_NANOS = TimeUnit.SECONDS.toNanos(5);

  private final TimeMeter waits = new TimeMeter();
  private final TimeMeter effects = new TimeMeter();
  private final TimeMeter passes = new TimeMeter();
  private final Map<Class<?>, TimeMeter> decisions = new ConcurrentHashMap<>();
  private final List<GarbageCollectorMXBean> collectors =
      ManagementFactory.getGarbageCollectorMXBeans();
  private final IntSupplier queued;
  private final LongSupplier cpuNanos;
  private final Consumer<LogLine> lines;
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
   * @param lines writes a line
   */
  ControlLoad(IntSupplier queued, LongSupplier cpuNanos, Consumer<LogLine> lines) {
    this.queued = queued;
    this.cpuNanos = cpuNanos;
    this.lines = lines;
  }

  @Override
  public void handled(
      Node node,
      NodeEvent event,
      long postedNanos,
      long begunNanos,
      long decidedNanos,
      long endedNanos) {
    waits.record(begunNanos - postedNanos);
    decisions
        .computeIfAbsent(kind(event), kind -> new TimeMeter())
        .record(decidedNanos - begunNanos);
    effects.record(endedNanos - decidedNanos);
    long passesNow = node.passes();
    if (passesNow != lastPasses) {
      lastPasses = passesNow;
      passes.record(decidedNanos - begunNanos);
    }
    if (!begun) {
      begun = true;
      lastLineNanos = begunNanos;
    }
    if (endedNanos - lastLineNanos >= (node.plans() ? PLANNING_NANOS : OTHERWISE_NANOS)) {
      tell(node, endedNanos - lastLineNanos);
      lastLineNanos = endedNanos;
    }
  }

  private static Class<?> kind(NodeEvent event) {
    return event instanceof NodeEvent.ForPlan forPlan
        ? forPlan.event().getClass()
        : event.getClass();
  }

  private void tell(Node node, long spanNanos) {
    TimeMeter.Recent waited = waits.takeRecent();
    TimeMeter.Recent carriedOut = effects.takeRecent();
    TimeMeter.Recent passed = passes.takeRecent();
    long decidedNanos = 0;
    long longestNanos = 0;
    String longestKind = "";
    for (Map.Entry<Class<?>, TimeMeter> kind : decisions.entrySet()) {
      TimeMeter.Recent recent = kind.getValue().takeRecent();
      decidedNanos += recent.totalNanos();
      if (recent.longestNanos() > longestNanos) {
        longestNanos = recent.longestNanos();
        longestKind = kind.getKey().getSimpleName();
      }
    }
    InstanceSize size = node.size();
    LogLine line =
        LogLine.of("control-load")
            .with("plans", node.plans())
            .with("cores", size.cores())
            .with("span-ms", millis(spanNanos))
            .with("events", waited.count())
            .with("wait-mean-us", micros(waited.meanNanos()))
            .with("wait-longest-us", micros(waited.longestNanos()))
            .with("queued", queued.getAsInt())
            .with("decided-ms", millis(decidedNanos))
            .with("decision-longest-us", micros(longestNanos))
            .with("decision-longest", longestKind)
            .with("effects-ms", millis(carriedOut.totalNanos()))
            .with("effects-longest-us", micros(carriedOut.longestNanos()))
            .with("processor-ms", millis(sinceLastCpu()))
            .with("collector-ms", sinceLastCollector());
    node.load().ifPresent(load -> addPlan(line, passed, load));
    lines.accept(line);
  }

  private static void addPlan(LogLine line, TimeMeter.Recent passed, PlanLoad load) {
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
