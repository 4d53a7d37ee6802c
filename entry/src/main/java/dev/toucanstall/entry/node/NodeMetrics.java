package dev.toucanstall.entry.node;

import dev.toucanstall.core.model.InstanceSize;
import dev.toucanstall.core.plan.PlanLoad;
import dev.toucanstall.runtime.log.LogRateLimiter;
import dev.toucanstall.runtime.meter.DurationHistogram;
import dev.toucanstall.runtime.meter.SynchronizedHistogramsByKind;
import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.FunctionTimer;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Tags;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.function.ToDoubleFunction;
import org.jspecify.annotations.Nullable;

/**
 * Metrics of an entry instance in the text format of Prometheus, read from counters and histograms
 * that the instance keeps anyway. The first scrape creates the registry. Thread-safe.
 */
final class NodeMetrics implements AutoCloseable {

  private final ControlLoad controlLoad;
  private final LogRateLimiter logRateLimiter;
  private final InstanceSize size;
  private final IntSupplier queuedEvents;
  private final SynchronizedHistogramsByKind orderLatencies;
  private @Nullable PrometheusMeterRegistry registry;

  /**
   * Creates the metrics.
   *
   * @param controlLoad histograms and load of the control thread
   * @param logRateLimiter counts log lines, by log event
   * @param size the processor share and memory of the instance
   * @param queuedEvents supplies the number of events in the queue of the control thread
   * @param orderLatencies times of orders and appends, by kind and outcome
   */
  NodeMetrics(
      ControlLoad controlLoad,
      LogRateLimiter logRateLimiter,
      InstanceSize size,
      IntSupplier queuedEvents,
      SynchronizedHistogramsByKind orderLatencies) {
    this.controlLoad = controlLoad;
    this.logRateLimiter = logRateLimiter;
    this.size = size;
    this.queuedEvents = queuedEvents;
    this.orderLatencies = orderLatencies;
  }

  /** Returns all metrics as text. */
  synchronized String scrape() {
    PrometheusMeterRegistry current = registry;
    if (current == null) {
      current = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
      registry = current;
      registerFixedMetrics(current);
    }
    registerNewKinds(current);
    return current.scrape();
  }

  private void registerFixedMetrics(PrometheusMeterRegistry target) {
    registerGauge(target, "toucanstall.instance.cores", m -> m.size.cores());
    registerGauge(target, "toucanstall.events.queued", m -> m.queuedEvents.getAsInt());
    registerGauge(target, "toucanstall.plans", m -> m.controlLoad.planLoad().isPresent() ? 1 : 0);
    registerPlanGauge(target, "toucanstall.plan.jobs.open", PlanLoad::openJobs);
    registerPlanGauge(target, "toucanstall.plan.servers", PlanLoad::servers);
    registerPlanGauge(target, "toucanstall.plan.servers.in.use", PlanLoad::serversInUse);
    registerPlanGauge(target, "toucanstall.plan.tasks.waiting", PlanLoad::waiting);
    registerPlanGauge(target, "toucanstall.plan.tasks.ordered", PlanLoad::ordered);
    registerPlanGauge(target, "toucanstall.plan.tasks.running", PlanLoad::running);
    registerPlanGauge(target, "toucanstall.plan.tasks.stopping", PlanLoad::stopping);
    registerPlanGauge(target, "toucanstall.plan.jobs.bytes", PlanLoad::jobBytes);
    registerGauge(
        target,
        "toucanstall.configuration.age.seconds",
        m -> m.controlLoad.configurationAgeSeconds());
    registerTimer(target, "toucanstall.event.wait", Tags.empty(), controlLoad.eventWaits());
    registerTimer(target, "toucanstall.pass", Tags.empty(), controlLoad.passTimes());
    registerTimer(
        target,
        "toucanstall.planner.reply",
        Tags.empty(),
        controlLoad.callLatencies().plannerReplies());
  }

  /** Registers kinds first recorded since the last scrape; registering one again has no effect. */
  private void registerNewKinds(PrometheusMeterRegistry target) {
    registerTimers(target, "toucanstall.decision", "kind", controlLoad.decisionTimes().asMap());
    registerTimers(target, "toucanstall.effect", "kind", controlLoad.effectTimes().asMap());
    registerTimers(
        target, "toucanstall.call", "outcome", controlLoad.callLatencies().clientCalls().asMap());
    registerTimers(target, "toucanstall.order", "outcome", orderLatencies.asMap());
    logRateLimiter
        .admittedByEvent()
        .keySet()
        .forEach(event -> registerLineCounter(target, "toucanstall.lines", event));
    logRateLimiter
        .droppedByEvent()
        .keySet()
        .forEach(event -> registerLineCounter(target, "toucanstall.lines.dropped", event));
  }

  private void registerGauge(
      PrometheusMeterRegistry target, String name, ToDoubleFunction<NodeMetrics> value) {
    Gauge.builder(name, this, value).register(target);
  }

  private void registerPlanGauge(
      PrometheusMeterRegistry target, String name, ToDoubleFunction<PlanLoad> value) {
    registerGauge(
        target, name, m -> m.controlLoad.planLoad().map(value::applyAsDouble).orElse(0.0));
  }

  private void registerLineCounter(PrometheusMeterRegistry target, String name, String event) {
    boolean dropped = name.endsWith("dropped");
    FunctionCounter.builder(
            name,
            logRateLimiter,
            limiter ->
                (dropped ? limiter.droppedByEvent() : limiter.admittedByEvent())
                    .getOrDefault(event, 0L))
        .tag("event", event)
        .register(target);
  }

  private static void registerTimers(
      PrometheusMeterRegistry target,
      String name,
      String tag,
      Map<String, DurationHistogram> histograms) {
    histograms.forEach(
        (kind, histogram) -> registerTimer(target, name, Tags.of(tag, kind), histogram));
  }

  /** Registers count and sum of durations, and the number below each bucket's upper bound. */
  private static void registerTimer(
      PrometheusMeterRegistry target, String name, Tags tags, DurationHistogram histogram) {
    FunctionTimer.builder(
            name,
            histogram,
            DurationHistogram::count,
            m -> m.totalSeconds() * TimeUnit.SECONDS.toNanos(1),
            TimeUnit.NANOSECONDS)
        .tags(tags)
        .register(target);
    for (int i = 0; i < DurationHistogram.BUCKET_COUNT; i++) {
      int bucketIndex = i;
      FunctionCounter.builder(name + ".below", histogram, m -> m.cumulativeCount(bucketIndex))
          .tags(tags.and("le", boundLabel(bucketIndex)))
          .register(target);
    }
  }

  private static String boundLabel(int bucketIndex) {
    double seconds = DurationHistogram.upperBoundSeconds(bucketIndex);
    return Double.isInfinite(seconds) ? "+Inf" : Double.toString(seconds);
  }

  @Override
  public synchronized void close() {
    if (registry != null) {
      registry.close();
    }
  }
}
