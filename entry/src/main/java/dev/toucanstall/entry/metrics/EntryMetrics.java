package dev.toucanstall.entry.metrics;

import dev.toucanstall.core.effect.Effect;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Tags;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;

/** Metrics of an entry instance in the text format of Prometheus. Thread-safe. */
public final class EntryMetrics implements AutoCloseable {

  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

  /**
   * Counts a request that has ended and, if it was started, records its wait.
   *
   * @param request the outcome of the request
   */
  public void countRequest(Effect.CountRequest request) {
    Tags tags =
        Tags.of(
            "team",
            request.team().value(),
            "service",
            request.service().value(),
            "reason",
            request.reason());
    registry.counter("toucanstall.requests", tags).increment();
    if (request.started()) {
      registry
          .timer("toucanstall.start.wait", "team", request.team().value())
          .record(Math.max(0, request.waitedNanos()), TimeUnit.NANOSECONDS);
    }
  }

  /**
   * Counts an alarm.
   *
   * @param name the name of the alarm, used as a label
   */
  public void countAlarm(String name) {
    registry.counter("toucanstall.alarms", "name", name).increment();
  }

  /**
   * Registers a gauge, whose value is read at each scrape.
   *
   * @param name the name of the gauge
   * @param source the object that the value is read from, held by a strong reference
   * @param reader reads the value from the source
   */
  public <T> void registerGauge(String name, T source, ToDoubleFunction<T> reader) {
    Gauge.builder(name, source, reader).strongReference(true).register(registry);
  }

  /**
   * Returns all metrics in the text format of Prometheus.
   *
   * @return the text
   */
  public String scrape() {
    return registry.scrape();
  }

  @Override
  public void close() {
    registry.close();
  }
}
