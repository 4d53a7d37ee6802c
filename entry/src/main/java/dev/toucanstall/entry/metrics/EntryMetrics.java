package dev.toucanstall.entry.metrics;

import dev.toucanstall.core.effect.Effect;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Tags;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;

/** The metrics of an entry instance, collected by Prometheus. Thread-safe. */
public final class EntryMetrics implements AutoCloseable {

  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

  /**
   * Counts the end of a request.
   *
   * @param counted the request
   */
  public void countRequest(Effect.CountRequest counted) {
    Tags tags =
        Tags.of(
            "team",
            counted.team().value(),
            "service",
            counted.service().value(),
            "reason",
            counted.reason());
    registry.counter("toucanstall.requests", tags).increment();
    if (counted.started()) {
      registry
          .timer("toucanstall.start.wait", "team", counted.team().value())
          .record(Math.max(0, counted.waitedNanos()), TimeUnit.NANOSECONDS);
    }
  }

  /**
   * Counts an alarm.
   *
   * @param name its stable name
   */
  public void countAlarm(String name) {
    registry.counter("toucanstall.alarms", "name", name).increment();
  }

  /**
   * Shows a value that is read when metrics are collected.
   *
   * @param name the name of the gauge
   * @param source what it is read from, held strongly
   * @param value reads it
   */
  public <T> void registerGauge(String name, T source, ToDoubleFunction<T> value) {
    Gauge.builder(name, source, value).strongReference(true).register(registry);
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
