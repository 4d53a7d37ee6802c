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
 * The metrics of an entry instance in the text format of Prometheus. They are read from meters that
 * are written anyway; the registry is made when somebody first asks. Thread-safe.
 */
final class NodeMetrics implements AutoCloseable {

  private final ControlLoad load;
  private final LogRateLimiter lines;
  private final InstanceSize size;
  private final IntSupplier queued;
  private final SynchronizedHistogramsByKind orders;
  private @Nullable PrometheusMeterRegistry registry;

  /**
   * Creates the metrics.
   *
   * @param load what the control thread does
   * @param lines what is logged
   * @param size the size of the instance
   * @param queued how many events wait
   * @param orders orders and appends by kind and outcome
   */
  NodeMetrics(
      ControlLoad load,
      LogRateLimiter lines,
      InstanceSize size,
      IntSupplier queued,
      SynchronizedHistogramsByKind orders) {
    this.load = load;
    this.lines = lines;
    this.size = size;
    this.queued = queued;
    this.orders = orders;
  }

  /** Returns all metrics as text. */
  synchronized String scrape() {
    PrometheusMeterRegistry known = registry;
    if (known == null) {
      known = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
      registry = known;
      addGauges(known);
    }
    addNewKinds(known);
    return known.scrape();
  }

  private void addGauges(PrometheusMeterRegistry to) {
    gauge(to, "toucanstall.instance.cores", m -> m.size.cores());
    gauge(to, "toucanstall.events.queued", m -> m.queued.getAsInt());
    gauge(to, "toucanstall.plans", m -> m.load.planLoad().isPresent() ? 1 : 0);
    planGauge(to, "toucanstall.plan.jobs.open", PlanLoad::openJobs);
    planGauge(to, "toucanstall.plan.servers", PlanLoad::servers);
    planGauge(to, "toucanstall.plan.servers.in.use", PlanLoad::serversInUse);
    planGauge(to, "toucanstall.plan.tasks.waiting", PlanLoad::waiting);
    planGauge(to, "toucanstall.plan.tasks.ordered", PlanLoad::ordered);
    planGauge(to, "toucanstall.plan.tasks.running", PlanLoad::running);
    planGauge(to, "toucanstall.plan.tasks.stopping", PlanLoad::stopping);
    gauge(to, "toucanstall.configuration.age.seconds", m -> m.load.configurationAgeSeconds());
    times(to, "toucanstall.event.wait", Tags.empty(), load.waits());
    times(to, "toucanstall.pass", Tags.empty(), load.passes());
    times(to, "toucanstall.planner.reply", Tags.empty(), load.calls().replies());
  }

  /** Adds the kinds that were first seen since the last time; adding one again has no effect. */
  private void addNewKinds(PrometheusMeterRegistry to) {
    kinds(to, "toucanstall.decision", "kind", load.decisions().asMap());
    kinds(to, "toucanstall.effect", "kind", load.effects().asMap());
    kinds(to, "toucanstall.call", "outcome", load.calls().calls().asMap());
    kinds(to, "toucanstall.order", "outcome", orders.asMap());
    lines.admittedByEvent().keySet().forEach(event -> lineCounter(to, "toucanstall.lines", event));
    lines
        .droppedByEvent()
        .keySet()
        .forEach(event -> lineCounter(to, "toucanstall.lines.dropped", event));
  }

  private void gauge(PrometheusMeterRegistry to, String name, ToDoubleFunction<NodeMetrics> value) {
    Gauge.builder(name, this, value).register(to);
  }

  private void planGauge(
      PrometheusMeterRegistry to, String name, ToDoubleFunction<PlanLoad> value) {
    gauge(to, name, m -> m.load.planLoad().map(value::applyAsDouble).orElse(0.0));
  }

  private void lineCounter(PrometheusMeterRegistry to, String name, String event) {
    boolean dropped = name.endsWith("dropped");
    FunctionCounter.builder(
            name,
            lines,
            gate ->
                (dropped ? gate.droppedByEvent() : gate.admittedByEvent()).getOrDefault(event, 0L))
        .tag("event", event)
        .register(to);
  }

  private static void kinds(
      PrometheusMeterRegistry to, String name, String tag, Map<String, DurationHistogram> meters) {
    meters.forEach((kind, meter) -> times(to, name, Tags.of(tag, kind), meter));
  }

  /** Shows count and sum, and how many were shorter than each bound. */
  private static void times(
      PrometheusMeterRegistry to, String name, Tags tags, DurationHistogram meter) {
    FunctionTimer.builder(
            name,
            meter,
            DurationHistogram::count,
            m -> m.totalSeconds() * TimeUnit.SECONDS.toNanos(1),
            TimeUnit.NANOSECONDS)
        .tags(tags)
        .register(to);
    for (int i = 0; i < DurationHistogram.BUCKET_COUNT; i++) {
      int bucket = i;
      FunctionCounter.builder(name + ".below", meter, m -> m.cumulativeCount(bucket))
          .tags(tags.and("le", bound(bucket)))
          .register(to);
    }
  }

  private static String bound(int bucket) {
    double seconds = DurationHistogram.upperBoundSeconds(bucket);
    return Double.isInfinite(seconds) ? "+Inf" : Double.toString(seconds);
  }

  @Override
  public synchronized void close() {
    if (registry != null) {
      registry.close();
    }
  }
}
