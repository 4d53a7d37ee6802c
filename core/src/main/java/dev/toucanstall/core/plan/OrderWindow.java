package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.TaskKey;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Bounds the starts and stops of runs that are under way at a time, so that a lease renewal never
 * waits behind more than these. A renewal keeps the runs of a whole backend server and is sent at
 * once; orders beyond the bounds wait here for the answers to earlier ones. Owned by the control
 * thread.
 */
final class OrderWindow {

  /** Most orders under way at all backend servers. */
  static final int MAX_UNDER_WAY = 128;

  /** Most orders under way at one backend server. */
  static final int MAX_UNDER_WAY_PER_SERVER = 32;

  /** Most starts that are requested and not sent, for all backend servers. */
  static final int MAX_UNSENT_STARTS = 512;

  /** Most starts that are requested and not sent, for one backend server. */
  static final int MAX_UNSENT_STARTS_PER_SERVER = 128;

  /** Order that may have to wait. */
  @FunctionalInterface
  interface WaitingOrder {

    /**
     * Sends the order unless it is no longer needed.
     *
     * @param now time of the decision
     * @return whether the order was sent
     */
    boolean send(Now now);
  }

  /**
   * Order that was sent and has no result yet.
   *
   * @param task the task
   * @param run number of the run
   * @param stop whether the run is to be stopped, not started
   */
  record SentOrder(TaskKey task, long run, boolean stop) {}

  private final Map<SentOrder, Server> underWay = new HashMap<>();

  /** Backend servers with waiting orders that may have another order under way. */
  private final Set<Server> sendable = new LinkedHashSet<>();

  private int unsentStarts;

  /** Counts a start that is requested and not sent. */
  void startRequested(Server server) {
    unsentStarts++;
    server.unsentStarts++;
  }

  /** Counts a start that was requested as sent or as no longer needed. */
  void startSettled(Server server) {
    unsentStarts--;
    server.unsentStarts--;
  }

  /** Returns whether so few starts wait that a placement pass is worth its search. */
  boolean takesStarts() {
    return unsentStarts <= MAX_UNSENT_STARTS / 2;
  }

  /** Returns whether no more starts may be requested in this placement pass. */
  boolean isFull() {
    return unsentStarts >= MAX_UNSENT_STARTS;
  }

  /** Returns whether a start may be requested for a backend server. */
  boolean takesStart(Server server) {
    return server.unsentStarts < MAX_UNSENT_STARTS_PER_SERVER;
  }

  /** Returns whether so few starts wait for a backend server that it is worth a placement pass. */
  boolean hasDrained(Server server) {
    return server.unsentStarts == MAX_UNSENT_STARTS_PER_SERVER / 2;
  }

  /** Returns whether another order to a backend server may be under way. */
  boolean hasRoom(Server server) {
    return underWay.size() < MAX_UNDER_WAY && server.ordersUnderWay < MAX_UNDER_WAY_PER_SERVER;
  }

  /** Returns whether an order was sent and has no result yet. */
  boolean isUnderWay(SentOrder order) {
    return underWay.containsKey(order);
  }

  /** Sends an order to a backend server, or lets it wait until fewer are under way. */
  void submit(Server server, WaitingOrder order, Now now) {
    server.waitingOrders.add(order);
    markSendable(server);
    sendWaiting(now);
  }

  /** Counts an order as under way. */
  void sent(Server server, SentOrder order) {
    if (underWay.put(order, server) == null) {
      server.ordersUnderWay++;
    }
  }

  /** Counts an order as ended, whatever its result. */
  void ended(SentOrder order) {
    Server server = underWay.remove(order);
    if (server != null) {
      server.ordersUnderWay--;
      markSendable(server);
    }
  }

  private void markSendable(Server server) {
    if (!server.waitingOrders.isEmpty() && server.ordersUnderWay < MAX_UNDER_WAY_PER_SERVER) {
      sendable.add(server);
    }
  }

  /** Sends waiting orders, the backend servers taking turns, until the bounds are reached. */
  void sendWaiting(Now now) {
    while (underWay.size() < MAX_UNDER_WAY && !sendable.isEmpty()) {
      Server server = sendable.iterator().next();
      sendable.remove(server);
      server.waitingOrders.remove().send(now);
      markSendable(server);
    }
  }
}
