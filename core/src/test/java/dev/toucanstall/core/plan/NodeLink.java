package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.JobCall;
import dev.toucanstall.core.model.Address;
import dev.toucanstall.core.node.NodeEvent;
import org.jspecify.annotations.Nullable;

/**
 * Simulates the link of an entry instance to the planner, with the behaviour of {@code
 * PlannerLink}.
 */
final class NodeLink {

  /** Timeout of connecting, in milliseconds. */
  private static final long CONNECT_MS = 500;

  /**
   * Read timeout: a connection without any message from the other end for this time is closed, in
   * milliseconds.
   */
  private static final long SILENT_MS = 900;

  /** Time between two pings, in milliseconds. */
  private static final long PING_MS = 200;

  /** Delay before connecting to the same planner again, in milliseconds. */
  private static final long PAUSE_MS = 200;

  /** Time until a refused connection is noticed, in milliseconds. */
  private static final long REFUSED_MS = 1;

  /**
   * Time between two attempts to deliver a message over a partitioned network, in milliseconds.
   */
  private static final long STALL_MS = 50;

  /** Most messages that wait on a connection in one direction. */
  private static final int QUEUE_LENGTH = 1_024;

  /** A TCP connection, which delivers messages in order or not at all. */
  final class Connection {

    /** Number that identifies the connection at the planner. */
    final long number;

    /** Entry instance at the other end. */
    final NodeInstance planner;

    /** Whether the connection is open. */
    boolean open = true;

    /** Time of the last message from the other end, in milliseconds of the steady clock. */
    private long heardMs;

    /** Messages under way to the other end. */
    private int asking;

    /** Messages under way from the other end. */
    private int answering;

    /** Arrival time of the last message to the other end, in milliseconds of the steady clock. */
    private long lastAskMs;

    /**
     * Arrival time of the last message from the other end, in milliseconds of the steady clock.
     */
    private long lastAnswerMs;

    Connection(long number, NodeInstance planner) {
      this.number = number;
      this.planner = planner;
      this.heardMs = world.nowMs();
    }

    /**
     * Sends a message to the other end; returns false if the connection has ended or too many
     * messages wait.
     */
    boolean ask(NodeEvent event) {
      if (!open || asking >= QUEUE_LENGTH) {
        return false;
      }
      asking++;
      lastAskMs = Math.max(lastAskMs, world.nowMs() + world.hopMs());
      world.atTime(lastAskMs, () -> arriveAtPlanner(event));
      return true;
    }

    /** Delivers a message at the other end, later while the network is partitioned. */
    private void arriveAtPlanner(NodeEvent event) {
      if (open && !world.touches(owner, planner)) {
        lastAskMs = Math.max(lastAskMs, world.nowMs() + STALL_MS);
        world.atTime(lastAskMs, () -> arriveAtPlanner(event));
        return;
      }
      asking--;
      if (!open) {
        return;
      }
      if (event instanceof NodeEvent.PeerPinged && !planner.frozen()) {
        world.at(world.hopMs(), this::heard);
      }
      planner.post(event);
    }

    /**
     * Takes the answer to a ping, which the other end's link thread sends however busy its control
     * thread is.
     */
    private void heard() {
      if (world.touches(owner, planner)) {
        heardMs = world.nowMs();
      }
    }

    /** Sends a message to the owner; the connection ends if the message is dropped. */
    void answer(NodeEvent event, boolean droppable) {
      if (!open || answering >= QUEUE_LENGTH || (droppable && world.drops())) {
        world.dropped++;
        end("a message was dropped");
        return;
      }
      answering++;
      lastAnswerMs = Math.max(lastAnswerMs, world.nowMs() + world.hopMs());
      world.atTime(lastAnswerMs, () -> arriveAtOwner(event));
    }

    /** Delivers a message at the owner, later while the network is partitioned. */
    private void arriveAtOwner(NodeEvent event) {
      if (open && !world.touches(owner, planner)) {
        lastAnswerMs = Math.max(lastAnswerMs, world.nowMs() + STALL_MS);
        world.atTime(lastAnswerMs, () -> arriveAtOwner(event));
        return;
      }
      answering--;
      if (open) {
        heardMs = world.nowMs();
        owner.post(event);
      }
    }

    /** Sends pings periodically. */
    private void ping() {
      if (open) {
        ask(new NodeEvent.PeerPinged(number, owner.ready ? owner.cores : 0));
        world.at(PING_MS, this::ping);
      }
    }

    /**
     * Closes the connection on a read timeout. Time in which the owner is paused doesn't count.
     */
    private void watch() {
      if (!open) {
        return;
      }
      if (owner.frozen()) {
        heardMs = world.nowMs();
      }
      if (world.nowMs() - heardMs >= SILENT_MS) {
        end("Read timed out");
      } else {
        world.at(PING_MS / 2, this::watch);
      }
    }

    /** Closes the connection for a reason; the owner connects again later. */
    void end(String why) {
      if (!open) {
        return;
      }
      open = false;
      planner.links.remove(number);
      connection = null;
      failed(planner.address, why);
    }
  }

  /** Simulation that the link belongs to. */
  private final NodeWorld world;

  /** Entry instance at this end. */
  private final NodeInstance owner;

  /** Address of the planner, null if none is followed. */
  private @Nullable Address target;

  /** Open connection, null if there is none. */
  @Nullable Connection connection;

  NodeLink(NodeWorld world, NodeInstance owner) {
    this.world = world;
    this.owner = owner;
  }

  /** Links to a planner from now on; an open connection to the same address stays in use. */
  void follow(Address next) {
    boolean same = next.equals(target);
    boolean dialling = target != null;
    target = next;
    Connection old = connection;
    if (old != null && same) {
      owner.post(new NodeEvent.LinkUp(next));
    } else if (old != null) {
      old.end("closed");
    } else if (!dialling) {
      dial(next);
    }
  }

  /** Sends a call to the planner; reports a failure if there is no connection to that address. */
  void ask(Address to, long ticket, JobCall call) {
    Connection current = connection;
    if (!to.equals(target) || current == null) {
      owner.post(new NodeEvent.AskUnsent(to, ticket));
    } else if (!current.ask(new NodeEvent.PeerAsked(current.number, ticket, call))) {
      owner.post(new NodeEvent.AskUnsent(to, ticket));
      current.end("a message was dropped");
    }
  }

  /** Connects to an address. */
  private void dial(Address to) {
    if (owner.gone) {
      return;
    }
    NodeInstance peer = world.listening(to);
    if (peer == null) {
      world.at(REFUSED_MS, () -> failed(to, "connection refused"));
    } else if (!world.touches(owner, peer)) {
      world.at(CONNECT_MS, () -> failed(to, "connect timed out"));
    } else {
      world.at(2 * world.hopMs(), () -> connected(to, peer));
    }
  }

  /** Takes an established connection. */
  private void connected(Address to, NodeInstance peer) {
    if (owner.gone) {
      return;
    }
    if (peer.gone) {
      failed(to, "connection reset");
      return;
    }
    Connection fresh = new Connection(world.nextLink(), peer);
    connection = fresh;
    peer.links.put(fresh.number, fresh);
    owner.post(new NodeEvent.LinkUp(to));
    fresh.ping();
    fresh.watch();
    if (!to.equals(target)) {
      fresh.end("closed");
    }
  }

  /** Reports that the connection ended or wasn't established, and schedules another attempt. */
  private void failed(Address to, String why) {
    owner.post(new NodeEvent.LinkDown(to, why));
    Address next = target;
    if (next != null) {
      world.at(next.equals(to) ? PAUSE_MS : 0, () -> dial(next.equals(target) ? next : target()));
    }
  }

  /**
   * Returns the address of the planner.
   *
   * @throws IllegalStateException if no planner is followed
   */
  private Address target() {
    Address now = target;
    if (now == null) {
      throw new IllegalStateException("no planner is followed");
    }
    return now;
  }
}
