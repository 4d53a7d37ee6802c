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
  private final List<Map<String, String>> lines = new ArrayList<>();
  private Map<String, Long> dropped = Map.of();
  private final ControlLoad load =
      new ControlLoad(() -> 17, () -> 0, () -> dropped, (LogLine line) -> lines.add(line.fields()));
  private long steadyMs = 1_000_000;

  /** Reduces an event and reports it with times in microseconds. */
  private void handle(NodeEvent event, long waitMicros, long decisionMicros, long effectMicros) {
    NodeReducer.reduce(node, event, new Now(steadyMs, steadyMs));
    long begun = TimeUnit.MILLISECONDS.toNanos(steadyMs);
    long decided = begun + TimeUnit.MICROSECONDS.toNanos(decisionMicros);
    load.carriedOut(
        new NodeEffect.SetReady(true), 5, 5 + TimeUnit.MICROSECONDS.toNanos(effectMicros));
    load.eventHandled(
        node,
        event,
        begun - TimeUnit.MICROSECONDS.toNanos(waitMicros),
        begun,
        decided,
        decided + TimeUnit.MICROSECONDS.toNanos(effectMicros));
  }

  private void beginToPlan() {
    Catalog empty = Catalog.of(1, List.of(), List.of(), Set.of());
    handle(new NodeEvent.CatalogRead(steadyMs, empty), 0, 0, 0);
    handle(new NodeEvent.Elected(7, 1, List.of()), 0, 0, 0);
  }

  /** Guards against events that wait at the planner for seconds with no line that says so. */
  @Test
  void lineOfPlannerTellsWaitsDecisionsPassesAndSize() {
    beginToPlan();
    steadyMs += 500;
    handle(new NodeEvent.Tick(), 2_000, 700, 40);
    steadyMs += 500;
    handle(new NodeEvent.Tick(), 900_000, 300, 10);
    assertThat(lines).hasSize(1);
    Map<String, String> line = lines.getFirst();
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

  /** Guards against lines that are missing without a trace while an incident is examined. */
  @Test
  void droppedLinesAreToldOnceByEvent() {
    beginToPlan();
    dropped = Map.of("message-dropped", 7L, "run-failed", 2L);
    steadyMs += 1_001;
    handle(new NodeEvent.Tick(), 0, 0, 0);
    assertThat(lines.getLast())
        .containsExactly("event", "lines-dropped", "message-dropped", "7", "run-failed", "2");
    dropped = Map.of("message-dropped", 9L, "run-failed", 2L);
    steadyMs += 1_001;
    handle(new NodeEvent.Tick(), 0, 0, 0);
    assertThat(lines.getLast()).containsExactly("event", "lines-dropped", "message-dropped", "2");
    steadyMs += 1_001;
    handle(new NodeEvent.Tick(), 0, 0, 0);
    assertThat(lines.getLast()).containsEntry("event", "control-load");
  }

  @Test
  void eachLineTellsOnlyItsOwnSecond() {
    beginToPlan();
    steadyMs += 1_000;
    handle(new NodeEvent.Tick(), 900_000, 700, 40);
    steadyMs += 1_001;
    handle(new NodeEvent.Tick(), 30, 5, 1);
    assertThat(lines).hasSize(2);
    assertThat(lines.getLast()).containsEntry("events", "1");
    assertThat(lines.getLast()).containsEntry("wait-longest-us", "30");
    assertThat(lines.getLast()).containsEntry("decision-longest-us", "5");
    assertThat(lines.getLast()).containsEntry("passes", "1");
  }

  @Test
  void instanceThatDoesNotPlanTellsItsLoadEachFiveSeconds() {
    handle(new NodeEvent.Tick(), 0, 0, 0);
    steadyMs += 4_999;
    handle(new NodeEvent.Tick(), 0, 0, 0);
    assertThat(lines).isEmpty();
    steadyMs += 1;
    handle(new NodeEvent.Tick(), 0, 0, 0);
    assertThat(lines).hasSize(1);
    assertThat(lines.getFirst()).containsEntry("plans", "false");
    assertThat(lines.getFirst()).doesNotContainKey("passes");
  }
}
