package dev.toucanstall.core.node;

import static com.google.common.truth.Truth.assertThat;

import dev.toucanstall.core.job.Catalog;
import dev.toucanstall.core.model.InstanceSize;
import dev.toucanstall.core.plan.Now;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests what counts as a confirmation of the configuration by the store. */
final class FreshnessRulesTest {

  private static final Catalog CATALOG = Catalog.of(1, List.of(), List.of(), Set.of());

  private final Node node = new Node("n1", new InstanceSize(0.36, 330, 7));
  private long nowMs = 1_000_000;
  private long wallMs = 5_000_000;

  private Now now() {
    return new Now(nowMs, wallMs);
  }

  private void handle(NodeEvent event) {
    NodeReducer.reduce(node, event, now());
  }

  private boolean isFresh() {
    return FreshnessRules.isFresh(node, now());
  }

  /** Suspends the machine: the wall clock goes on, the monotonic clock stands still. */
  private void suspend(long millis) {
    wallMs += millis;
  }

  /**
   * Guards against an entry instance that admits calls with a withdrawn API key after its machine
   * was suspended: the answer to a read of before looks as recent as the clock that stood still.
   */
  @Test
  void readRequestedBeforeSuspensionConfirmsNothing() {
    handle(new NodeEvent.CatalogRead(nowMs, CATALOG));
    nowMs += 2;
    suspend(4_000);
    handle(new NodeEvent.Tick());
    handle(new NodeEvent.CatalogRead(nowMs - 1, null));
    assertThat(isFresh()).isFalse();
  }

  /** Guards against the same if the answer is the first event after the suspension. */
  @Test
  void readThatIsTheFirstEventAfterSuspensionConfirmsNothing() {
    handle(new NodeEvent.CatalogRead(nowMs, CATALOG));
    suspend(4_000);
    handle(new NodeEvent.CatalogRead(nowMs, null));
    assertThat(isFresh()).isFalse();
  }

  /** Guards against an entry instance that loses a configuration that it read meanwhile. */
  @Test
  void configurationReadBeforeSuspensionCountsOnceConfirmed() {
    handle(new NodeEvent.Tick());
    suspend(4_000);
    handle(new NodeEvent.CatalogRead(nowMs, CATALOG));
    assertThat(isFresh()).isFalse();
    nowMs += 1;
    handle(new NodeEvent.CatalogRead(nowMs, null));
    assertThat(isFresh()).isTrue();
  }
}
