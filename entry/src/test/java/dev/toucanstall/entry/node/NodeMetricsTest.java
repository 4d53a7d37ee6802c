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

  private static final long MS = 1_000_000;
  private static final Address PLANNER = new Address("127.0.0.1", 7000);

  private final InstanceSize size = new InstanceSize(0.36, 330, 7);
  private final Node node = new Node("n1", size);
  private final ControlLoad load = new ControlLoad(() -> 3, () -> 0, Map::of, line -> {});
  private final SynchronizedHistogramsByKind orders = new SynchronizedHistogramsByKind();

  /** Guards against an overload that no figure shows: H1 and H2 of the incident looked alike. */
  @Test
  void pageShowsWaitsDecisionsCallsRepliesOrdersAndLines() {
    load.eventHandled(node, new NodeEvent.Tick(), 0, 5 * MS, 6 * MS, 7 * MS);
    load.calls().began(9, 0);
    load.carriedOut(new NodeEffect.AskPeer(PLANNER, 9, new JobCall.Count("q")), MS, 2 * MS);
    NodeEvent answered = new NodeEvent.PeerAnswered(PLANNER, 9, new JobAnswer.Counted(1));
    load.carriedOut(new NodeEffect.Answer(9, new JobAnswer.Counted(1)), 4 * MS, 5 * MS);
    load.eventHandled(node, answered, 3 * MS, 4 * MS, 5 * MS, 6 * MS);
    orders.record("start Obeyed", 8 * MS);
    LogLine.of("metrics-tested").info(LogManager.getLogger());
    try (NodeMetrics metrics =
        new NodeMetrics(load, LogLine.rateLimiter(), size, () -> 3, orders)) {
      String page = metrics.scrape();
      assertThat(page).contains("toucanstall_instance_cores 0.36");
      assertThat(page).contains("toucanstall_events_queued 3.0");
      assertThat(page).contains("toucanstall_plans 0.0");
      assertThat(page).contains("toucanstall_event_wait_seconds_count 2");
      assertThat(page).contains("toucanstall_event_wait_seconds_sum 0.006");
      assertThat(page).contains("toucanstall_event_wait_below_total{le=\"0.001024\"} 1.0");
      assertThat(page).contains("toucanstall_event_wait_below_total{le=\"+Inf\"} 2.0");
      assertThat(page).contains("toucanstall_decision_seconds_count{kind=\"Tick\"} 1");
      assertThat(page).contains("toucanstall_effect_seconds_count{kind=\"AskPeer\"} 1");
      assertThat(page).contains("toucanstall_call_seconds_sum{outcome=\"Counted\"} 0.004");
      assertThat(page).contains("toucanstall_planner_reply_seconds_sum 0.002");
      assertThat(page).contains("toucanstall_order_seconds_sum{outcome=\"start Obeyed\"} 0.008");
      assertThat(page).contains("toucanstall_lines_total{event=\"metrics-tested\"} 1.0");
      assertThat(page).contains("toucanstall_plan_tasks_waiting 0.0");
      assertThat(page).contains("toucanstall_pass_seconds_count 0");
      assertThat(page).contains("toucanstall_configuration_age_seconds");
    }
  }

  @Test
  void kindThatIsFirstSeenLaterIsOnTheNextPage() {
    try (NodeMetrics metrics =
        new NodeMetrics(load, LogLine.rateLimiter(), size, () -> 3, orders)) {
      assertThat(metrics.scrape()).doesNotContain("append DONE");
      orders.record("append DONE", MS);
      assertThat(metrics.scrape()).contains("outcome=\"append DONE\"");
    }
  }
}
