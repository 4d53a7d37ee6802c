package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.JobCall;
import dev.toucanstall.core.model.Address;
import dev.toucanstall.core.node.NodeEvent;
import org.jspecify.annotations.Nullable;

/** The link of an entry instance to the planner, as {@code PlannerLink} keeps it. */
final class NodeLink {

  private static final long CONNECT_MS = 500;
  private static final long SILENT_MS = 900;
  private static final long PING_MS = 200;
  private static final long PAUSE_MS = 200;
  private static final long REFUSED_MS = 1;
  private static final long STALL_MS = 50;

  /** Most messages that wait on a link in one direction. */
  private static final int QUEUE_LENGTH = 1_024;

  /** One TCP connection; messages arrive in order or not at all. */
  final class Connection {

    final long number;
    final NodeInstance planner;
    boolean open = true;
    private long heardMs;
    private int asking;
    private int answering;
    private long lastAskMs;
    private long lastAnswerMs;

    Connection(long number, NodeInstance planner) {
      this.number = number;
      this.planner = planner;
      this.heardMs = world.nowMs();
    }

    /** Queues a message to the planner; false if too many wait. */
    boolean ask(NodeEvent event) {
      if (!open || asking >= QUEUE_LENGTH) {
        return false;
      }
      asking++;
      lastAskMs = Math.max(lastAskMs, world.nowMs() + world.hopMs());
      world.atTime(lastAskMs, () -> arriveAtPlanner(event));
      return true;
    }

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

    /** The other end's link thread answers a ping, however busy its control thread is. */
    private void heard() {
      if (world.touches(owner, planner)) {
        heardMs = world.nowMs();
      }
    }

    /** Queues a message from the planner; a link that does not take it ends. */
    void answer(NodeEvent event, boolean droppable) {
      if (!open || answering >= QUEUE_LENGTH || (droppable && world.drops())) {
        world.dropped++;
        end("a message was not taken");
        return;
      }
      answering++;
      lastAnswerMs = Math.max(lastAnswerMs, world.nowMs() + world.hopMs());
      world.atTime(lastAnswerMs, () -> arriveAtOwner(event));
    }

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

    private void ping() {
      if (open) {
        ask(new NodeEvent.PeerPinged(number, owner.ready ? owner.cores : 0));
        world.at(PING_MS, this::ping);
      }
    }

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

    /** Closes the connection; the owner dials again after a pause. */
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

  private final NodeWorld world;
  private final NodeInstance owner;
  private @Nullable Address target;
  @Nullable Connection connection;

  NodeLink(NodeWorld world, NodeInstance owner) {
    this.world = world;
    this.owner = owner;
  }

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

  void ask(Address to, long ticket, JobCall call) {
    Connection current = connection;
    if (!to.equals(target) || current == null) {
      owner.post(new NodeEvent.AskUnsent(to, ticket));
    } else if (!current.ask(new NodeEvent.PeerAsked(current.number, ticket, call))) {
      owner.post(new NodeEvent.AskUnsent(to, ticket));
      current.end("a message was not taken");
    }
  }

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

  private void failed(Address to, String why) {
    owner.post(new NodeEvent.LinkDown(to, why));
    Address next = target;
    if (next != null) {
      world.at(next.equals(to) ? PAUSE_MS : 0, () -> dial(next.equals(target) ? next : target()));
    }
  }

  private Address target() {
    Address now = target;
    if (now == null) {
      throw new IllegalStateException("no planner is followed");
    }
    return now;
  }
}
