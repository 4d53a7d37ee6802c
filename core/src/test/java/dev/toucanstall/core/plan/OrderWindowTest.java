package dev.toucanstall.core.plan;

import static com.google.common.truth.Truth.assertThat;

import dev.toucanstall.core.job.Resources;
import dev.toucanstall.core.job.ServerEntry;
import dev.toucanstall.core.job.TaskKey;
import dev.toucanstall.core.lease.LeaseBound;
import dev.toucanstall.core.model.Address;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests which orders wait for others. */
final class OrderWindowTest {

  private static final long START_MS = 1_000_000;

  private final OrderWindow window = new OrderWindow();
  private int sentOrders;

  private static Now at(long steadyMs) {
    return new Now(steadyMs, steadyMs);
  }

  private static Server server(int number) {
    Address address = new Address("10.0.0.1", 1 + number);
    ServerEntry entry =
        new ServerEntry(
            "w" + number, 1, "s", address, "dc", false, Resources.NONE, Set.of(), START_MS);
    return new Server(entry, LeaseBound.ofListed(START_MS, 0, 0), START_MS);
  }

  private static OrderWindow.SentOrder order(int number) {
    return new OrderWindow.SentOrder(new TaskKey("j", 0, 0, number), 1, false);
  }

  private void submit(Server server, int number, long nowMs) {
    window.submit(
        server,
        now -> {
          window.sent(server, order(number), now);
          sentOrders++;
          return true;
        },
        at(nowMs));
  }

  /** Fills the window with orders that get no answer, 16 a server; returns their number. */
  private int fill() {
    for (int i = 0; i < OrderWindow.MAX_UNDER_WAY; i++) {
      submit(server(i / 16), i, START_MS);
    }
    return OrderWindow.MAX_UNDER_WAY;
  }

  @Test
  void orderWaitsUntilAnotherHasEnded() {
    int number = fill();
    submit(server(99), number, START_MS + 1);
    assertThat(sentOrders).isEqualTo(number);
    window.ended(order(0));
    window.advance(at(START_MS + 2));
    assertThat(sentOrders).isEqualTo(number + 1);
  }

  /**
   * Guards against orders to sound backend servers that wait for the answers of silent ones, which
   * hold as many orders as may be under way.
   */
  @Test
  void ordersWithoutAnAnswerDoNotHoldBackOthersForLong() {
    int number = fill();
    submit(server(99), number, START_MS + 1);
    window.advance(at(START_MS + 200));
    assertThat(sentOrders).isEqualTo(number);
    window.advance(at(START_MS + 300));
    assertThat(sentOrders).isEqualTo(number + 1);
    window.ended(order(0));
    window.advance(at(START_MS + 700));
    submit(server(98), number + 1, START_MS + 701);
    assertThat(sentOrders).isEqualTo(number + 2);
  }
}
