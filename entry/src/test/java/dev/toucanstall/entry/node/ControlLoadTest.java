package dev.toucanstall.entry.node;

import static com.google.common.truth.Truth.assertThat;

import dev.toucanstall.core.job.Catalog;
import dev.toucanstall.core.model.InstanceSize;
import dev.toucanstall.core.node.Node;
import dev.toucanstall.core.node.NodeEffect;
import dev.toucanstall.core.node.NodeEvent;
import dev.toucanstall.core.node.NodeReducer;
import dev.toucanstall.core.plan.Now;
import dev.toucanstall.runtime.log.LogLine;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class ControlLoadTest {

  private final Node node = new Node("n1", new InstanceSize(0.36, 330, 7));
  private final List<Map<String, String>> summaries = new ArrayList<>();
  private Map<String, Long> droppedLines = Map.of();
  private final ControlLoad load =
      new ControlLoad(
          () -> 17, () -> 0, () -> droppedLines, (LogLine line) -> summaries.add(line.fields()));
  private long steadyMs = 1_000_000;

  /** Applies an event and passes it to the observer with the given times. */
  private void handle(NodeEvent event, long waitMicros, long decisionMicros, long effectMicros) {
    NodeReducer.reduce(node, event, new Now(steadyMs, steadyMs));
    long startNanos = TimeUnit.MILLISECONDS.toNanos(steadyMs);
    long decidedNanos = startNanos + TimeUnit.MICROSECONDS.toNanos(decisionMicros);
    load.effectDispatched(
        new NodeEffect.SetReady(true), 5, 5 + TimeUnit.MICROSECONDS.toNanos(effectMicros));
    load.eventHandled(
        node,
        event,
        startNanos - TimeUnit.MICROSECONDS.toNanos(waitMicros),
        startNanos,
        decidedNanos,
        decidedNanos + TimeUnit.MICROSECONDS.toNanos(effectMicros));
  }

  private void becomePlanner() {
    Catalog emptyCatalog = Catalog.of(1, List.of(), List.of(), Set.of());
    handle(new NodeEvent.CatalogRead(steadyMs, emptyCatalog), 0, 0, 0);
    handle(new NodeEvent.Elected(7, 1, List.of()), 0, 0, 0);
  }

  /** Guards against events that wait for seconds at the planner while no log line shows it. */
  @Test
  void plannerLogsWaitsDecisionsPassesAndSize() {
    becomePlanner();
    steadyMs += 500;
    handle(new NodeEvent.Tick(), 2_000, 700, 40);
    steadyMs += 500;
    handle(new NodeEvent.Tick(), 900_000, 300, 10);
    assertThat(summaries).hasSize(1);
    Map<String, String> line = summaries.getFirst();
    assertThat(line).containsEntry("event", "control-load");
    assertThat(line).containsEntry("plans", "true");
    assertThat(line).containsEntry("cores", "0.36");
    assertThat(line).containsEntry("span-ms", "1000");
    assertThat(line).containsEntry("events", "4");
    assertThat(line).containsEntry("wait-mean-us", "225500");
    assertThat(line).containsEntry("wait-longest-us", "900000");
    assertThat(line).containsEntry("queued", "17");
    assertThat(line).containsEntry("decided-ms", "1");
    assertThat(line).containsEntry("decision-longest-us", "700");
    assertThat(line).containsEntry("decision-longest", "Tick");
    assertThat(line).containsEntry("decisions-most-ms", "Tick 1, CatalogRead 0, Elected 0");
    assertThat(line).containsEntry("effect-longest-us", "40");
    assertThat(line).containsEntry("effect-longest", "SetReady");
    assertThat(line).containsEntry("effects-most-ms", "SetReady 0");
    assertThat(line).containsEntry("passes", "2");
    assertThat(line).containsEntry("pass-mean-us", "500");
    assertThat(line).containsEntry("pass-longest-us", "700");
    assertThat(line).containsEntry("open-jobs", "0");
    assertThat(line).containsEntry("servers", "0");
  }

  /** Guards against log lines that are dropped without a trace of it in the log. */
  @Test
  void droppedLinesAreLoggedOnceByEvent() {
    becomePlanner();
    droppedLines = Map.of("message-dropped", 7L, "run-failed", 2L);
    steadyMs += 1_001;
    handle(new NodeEvent.Tick(), 0, 0, 0);
    assertThat(summaries.getLast())
        .containsExactly("event", "lines-dropped", "message-dropped", "7", "run-failed", "2");
    droppedLines = Map.of("message-dropped", 9L, "run-failed", 2L);
    steadyMs += 1_001;
    handle(new NodeEvent.Tick(), 0, 0, 0);
    assertThat(summaries.getLast())
        .containsExactly("event", "lines-dropped", "message-dropped", "2");
    steadyMs += 1_001;
    handle(new NodeEvent.Tick(), 0, 0, 0);
    assertThat(summaries.getLast()).containsEntry("event", "control-load");
  }

  @Test
  void summaryCoversOnlyItsOwnInterval() {
    becomePlanner();
    steadyMs += 1_000;
    handle(new NodeEvent.Tick(), 900_000, 700, 40);
    steadyMs += 1_001;
    handle(new NodeEvent.Tick(), 30, 5, 1);
    assertThat(summaries).hasSize(2);
    assertThat(summaries.getLast()).containsEntry("events", "1");
    assertThat(summaries.getLast()).containsEntry("wait-longest-us", "30");
    assertThat(summaries.getLast()).containsEntry("decision-longest-us", "5");
    assertThat(summaries.getLast()).containsEntry("passes", "1");
  }

  @Test
  void instanceThatDoesNotPlanLogsLoadEveryFiveSeconds() {
    handle(new NodeEvent.Tick(), 0, 0, 0);
    steadyMs += 4_999;
    handle(new NodeEvent.Tick(), 0, 0, 0);
    assertThat(summaries).isEmpty();
    steadyMs += 1;
    handle(new NodeEvent.Tick(), 0, 0, 0);
    assertThat(summaries).hasSize(1);
    assertThat(summaries.getFirst()).containsEntry("plans", "false");
    assertThat(summaries.getFirst()).doesNotContainKey("passes");
  }
}
