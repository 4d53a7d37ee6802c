package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.TaskKey;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Bounds the starts and stops of runs that are under way at a time, so that a lease renewal never
 * waits behind more than these. A renewal keeps the runs of a whole backend server and is sent at
 * once; orders beyond the bounds wait here for the answers to earlier ones. Owned by the control
 * thread.
 *
 * <p>A start also waits for the answer to a renewal that acknowledges finished runs, for a short
 * time: a later incarnation that both reach would forget the end of the run unread.
 */
final class OrderWindow {

  /** Most orders under way at all backend servers, without slow ones. */
  static final int MAX_UNDER_WAY = 128;

  /**
   * Time under way after which an order is slow, in milliseconds. It waits at its backend server
   * then, rather than here, and must not hold back orders to others.
   */
  private static final long SLOW_ORDER_MS = 300;

  /**
   * Longest time for which a start waits for the answer to a renewal that acknowledges, counted
   * from its sending, in milliseconds. The answer may wait for a run to finish.
   */
  static final long ACKNOWLEDGEMENT_ARRIVAL_MS = 100;

  /** Most orders under way at one backend server. */
  static final int MAX_UNDER_WAY_PER_SERVER = 32;

  /** Most starts that are requested and not sent, for all backend servers. */
  static final int MAX_UNSENT_STARTS = 512;

  /** Most starts that are requested and not sent, for one backend server. */
  static final int MAX_UNSENT_STARTS_PER_SERVER = 32;

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

  /** State of an order that is under way. */
  private static final class UnderWay {

    private final Server server;
    private final long sentMs;

    /** Whether the order counts towards the bound for all backend servers. */
    private boolean counts = true;

    private UnderWay(Server server, long sentMs) {
      this.server = server;
      this.sentMs = sentMs;
    }
  }

  private final Map<SentOrder, UnderWay> underWay = new HashMap<>();

  /** Orders that may count towards the bound for all backend servers, oldest first. */
  private final Deque<UnderWay> recent = new ArrayDeque<>();

  /** Number of orders that count towards the bound for all backend servers. */
  private int countedOrders;

  /** Backend servers with waiting orders that may have another order under way. */
  private final Set<Server> sendable = new LinkedHashSet<>();

  /** Starts that wait for a renewal that acknowledges, by backend server. */
  private final Map<Server, Deque<WaitingOrder>> heldStarts = new LinkedHashMap<>();

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
    return countedOrders < MAX_UNDER_WAY && server.ordersUnderWay < MAX_UNDER_WAY_PER_SERVER;
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

  /**
   * Sends a start to a backend server, or lets it wait until fewer orders are under way and no
   * renewal that acknowledges is due or may be on its way there.
   */
  void submitStart(Server server, WaitingOrder start, Now now) {
    submit(server, later -> sendOrHold(server, start, later), now);
  }

  private boolean sendOrHold(Server server, WaitingOrder start, Now now) {
    if (awaitsAcknowledgement(server, now)) {
      heldStarts.computeIfAbsent(server, s -> new ArrayDeque<>()).add(start);
      return false;
    }
    return start.send(now);
  }

  private static boolean awaitsAcknowledgement(Server server, Now now) {
    return server.hasUnansweredAcknowledgement(now.steadyMs() - ACKNOWLEDGEMENT_ARRIVAL_MS)
        || ServerRules.startsWait(server, now);
  }

  /** Lets the starts take their turn again that no longer wait for an acknowledgement. */
  private void resumeHeldStarts(Now now) {
    Iterator<Map.Entry<Server, Deque<WaitingOrder>>> held = heldStarts.entrySet().iterator();
    while (held.hasNext()) {
      Map.Entry<Server, Deque<WaitingOrder>> entry = held.next();
      Server server = entry.getKey();
      if (!awaitsAcknowledgement(server, now)) {
        held.remove();
        entry
            .getValue()
            .forEach(start -> server.waitingOrders.add(later -> sendOrHold(server, start, later)));
        markSendable(server);
      }
    }
  }

  /** Counts an order as under way. */
  void sent(Server server, SentOrder order, Now now) {
    if (!underWay.containsKey(order)) {
      UnderWay sent = new UnderWay(server, now.steadyMs());
      underWay.put(order, sent);
      recent.add(sent);
      countedOrders++;
      server.ordersUnderWay++;
    }
  }

  private void uncount(UnderWay order) {
    if (order.counts) {
      order.counts = false;
      countedOrders--;
    }
  }

  /**
   * Stops counting orders that have become slow, and sends orders that have waited for them or for
   * acknowledgements.
   */
  void advance(Now now) {
    UnderWay oldest = recent.peek();
    while (oldest != null && (!oldest.counts || now.steadyMs() - oldest.sentMs >= SLOW_ORDER_MS)) {
      uncount(recent.remove());
      oldest = recent.peek();
    }
    resumeHeldStarts(now);
    sendWaiting(now);
  }

  /** Counts an order as ended, whatever its result. */
  void ended(SentOrder order) {
    UnderWay ended = underWay.remove(order);
    if (ended != null) {
      uncount(ended);
      ended.server.ordersUnderWay--;
      markSendable(ended.server);
    }
  }

  private void markSendable(Server server) {
    if (!server.waitingOrders.isEmpty() && server.ordersUnderWay < MAX_UNDER_WAY_PER_SERVER) {
      sendable.add(server);
    }
  }

  /** Sends waiting orders, the backend servers taking turns, until the bounds are reached. */
  private void sendWaiting(Now now) {
    while (countedOrders < MAX_UNDER_WAY && !sendable.isEmpty()) {
      Server server = sendable.iterator().next();
      sendable.remove(server);
      server.waitingOrders.remove().send(now);
      markSendable(server);
    }
  }
}
