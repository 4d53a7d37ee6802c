package dev.toucanstall.entry.node;

import static com.google.common.truth.Truth.assertThat;

import dev.toucanstall.core.job.JobAnswer;
import dev.toucanstall.core.job.JobCall;
import dev.toucanstall.core.model.Address;
import dev.toucanstall.core.model.InstanceSize;
import dev.toucanstall.core.node.Node;
import dev.toucanstall.core.node.NodeEffect;
import dev.toucanstall.core.node.NodeEvent;
import dev.toucanstall.runtime.log.LogLine;
import dev.toucanstall.runtime.meter.SynchronizedHistogramsByKind;
import java.util.Map;
import org.apache.logging.log4j.LogManager;
import org.junit.jupiter.api.Test;

final class NodeMetricsTest {

  private static final long NANOS_PER_MS = 1_000_000;
  private static final Address PLANNER = new Address("127.0.0.1", 7000);

  private final InstanceSize size = new InstanceSize(0.36, 330, 7);
  private final Node node = new Node("n1", size);
  private final ControlLoad load = new ControlLoad(() -> 3, () -> 0, Map::of, line -> {});
  private final SynchronizedHistogramsByKind orderLatencies = new SynchronizedHistogramsByKind();

  /** Guards against overloads of different causes that look alike in the metrics. */
  @Test
  void scrapeShowsWaitsDecisionsCallsRepliesOrdersAndLines() {
    load.eventHandled(
        node, new NodeEvent.Tick(), 0, 5 * NANOS_PER_MS, 6 * NANOS_PER_MS, 7 * NANOS_PER_MS);
    load.callLatencies().callArrived(9, 0);
    load.effectDispatched(
        new NodeEffect.AskPeer(PLANNER, 9, new JobCall.Count("q")), NANOS_PER_MS, 2 * NANOS_PER_MS);
    NodeEvent answered = new NodeEvent.PeerAnswered(PLANNER, 9, new JobAnswer.Counted(1));
    load.effectDispatched(
        new NodeEffect.Answer(9, new JobAnswer.Counted(1)), 4 * NANOS_PER_MS, 5 * NANOS_PER_MS);
    load.eventHandled(
        node, answered, 3 * NANOS_PER_MS, 4 * NANOS_PER_MS, 5 * NANOS_PER_MS, 6 * NANOS_PER_MS);
    orderLatencies.record("start Obeyed", 8 * NANOS_PER_MS);
    LogLine.of("metrics-tested").info(LogManager.getLogger());
    try (NodeMetrics metrics =
        new NodeMetrics(load, LogLine.rateLimiter(), size, () -> 3, orderLatencies)) {
      String text = metrics.scrape();
      assertThat(text).contains("toucanstall_instance_cores 0.36");
      assertThat(text).contains("toucanstall_events_queued 3.0");
      assertThat(text).contains("toucanstall_plans 0.0");
      assertThat(text).contains("toucanstall_event_wait_seconds_count 2");
      assertThat(text).contains("toucanstall_event_wait_seconds_sum 0.006");
      assertThat(text).contains("toucanstall_event_wait_below_total{le=\"0.001024\"} 1.0");
      assertThat(text).contains("toucanstall_event_wait_below_total{le=\"+Inf\"} 2.0");
      assertThat(text).contains("toucanstall_decision_seconds_count{kind=\"Tick\"} 1");
      assertThat(text).contains("toucanstall_effect_seconds_count{kind=\"AskPeer\"} 1");
      assertThat(text).contains("toucanstall_call_seconds_sum{outcome=\"Counted\"} 0.004");
      assertThat(text).contains("toucanstall_planner_reply_seconds_sum 0.002");
      assertThat(text).contains("toucanstall_order_seconds_sum{outcome=\"start Obeyed\"} 0.008");
      assertThat(text).contains("toucanstall_lines_total{event=\"metrics-tested\"} 1.0");
      assertThat(text).contains("toucanstall_plan_tasks_waiting 0.0");
      assertThat(text).contains("toucanstall_pass_seconds_count 0");
      assertThat(text).contains("toucanstall_configuration_age_seconds");
    }
  }

  @Test
  void newKindAppearsInNextScrape() {
    try (NodeMetrics metrics =
        new NodeMetrics(load, LogLine.rateLimiter(), size, () -> 3, orderLatencies)) {
      assertThat(metrics.scrape()).doesNotContain("append DONE");
      orderLatencies.record("append DONE", NANOS_PER_MS);
      assertThat(metrics.scrape()).contains("outcome=\"append DONE\"");
    }
  }
}
