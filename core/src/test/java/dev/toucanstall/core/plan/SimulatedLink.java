package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.JobCall;
import dev.toucanstall.core.model.Address;
import dev.toucanstall.core.node.NodeEvent;
import org.jspecify.annotations.Nullable;

/**
 * Simulates the link of an entry instance to the planner, with the behaviour of {@code
 * PlannerLink}.
 */
final class SimulatedLink {

  private static final long CONNECT_TIMEOUT_MS = 500;
  private static final long READ_TIMEOUT_MS = 900;
  private static final long PING_INTERVAL_MS = 200;

  /** Delay before connecting to the same planner again, in milliseconds. */
  private static final long RECONNECT_DELAY_MS = 200;

  private static final long REFUSAL_DELAY_MS = 1;

  /** Time until TCP first sends again what a partitioned network has lost, in milliseconds. */
  private static final long FIRST_RETRANSMISSION_MS = 200;

  /** Time between two attempts to deliver a message over a partitioned network, in milliseconds. */
  private static final long PARTITION_RETRY_MS = 50;

  /** Most messages that wait on a connection in one direction. */
  private static final int MAX_QUEUED_MESSAGES = 1_024;

  /** A TCP connection, which delivers messages in order or not at all. */
  final class Connection {

    final long number;
    final SimulatedInstance peer;
    boolean open = true;

    /** Whether messages on their way to the other end still arrive though the owner has closed. */
    private boolean delivering = true;

    private long lastReceivedMs;
    private int queuedToPeer;
    private int queuedToOwner;
    private long lastArrivalAtPeerMs;
    private long lastArrivalAtOwnerMs;

    Connection(long number, SimulatedInstance peer) {
      this.number = number;
      this.peer = peer;
      this.lastReceivedMs = sim.nowMs();
    }

    /**
     * Sends a message to the other end; returns false if the connection has ended or too many
     * messages wait.
     */
    boolean sendToPeer(NodeEvent event) {
      if (!open || queuedToPeer >= MAX_QUEUED_MESSAGES) {
        return false;
      }
      queuedToPeer++;
      lastArrivalAtPeerMs = Math.max(lastArrivalAtPeerMs, sim.nowMs() + sim.networkDelayMs());
      sim.atTime(lastArrivalAtPeerMs, () -> arriveAtPeer(event, FIRST_RETRANSMISSION_MS));
      return true;
    }

    /**
     * Delivers a message at the other end, later while the network is partitioned; also after the
     * owner has closed the connection, because TCP delivers what was sent before.
     *
     * @param event the message
     * @param retransmissionMs time until the next attempt, which doubles with each, in milliseconds
     */
    private void arriveAtPeer(NodeEvent event, long retransmissionMs) {
      if (delivering && !sim.areConnected(owner, peer)) {
        lastArrivalAtPeerMs = Math.max(lastArrivalAtPeerMs, sim.nowMs() + retransmissionMs);
        sim.atTime(lastArrivalAtPeerMs, () -> arriveAtPeer(event, 2 * retransmissionMs));
        return;
      }
      queuedToPeer--;
      if (!delivering) {
        return;
      }
      if (event instanceof NodeEvent.PeerPinged && !peer.isPaused()) {
        sim.after(sim.networkDelayMs(), this::pingAnswered);
      }
      peer.post(event);
    }

    /**
     * Takes the answer to a ping, which the other end's link thread sends however busy its control
     * thread is.
     */
    private void pingAnswered() {
      if (sim.areConnected(owner, peer)) {
        lastReceivedMs = sim.nowMs();
      }
    }

    /** Sends a message to the owner; returns false if the message is dropped. */
    boolean sendToOwner(NodeEvent event, boolean droppable) {
      if (!open || queuedToOwner >= MAX_QUEUED_MESSAGES || (droppable && sim.dropsReply())) {
        sim.droppedMessages++;
        return false;
      }
      queuedToOwner++;
      lastArrivalAtOwnerMs = Math.max(lastArrivalAtOwnerMs, sim.nowMs() + sim.networkDelayMs());
      sim.atTime(lastArrivalAtOwnerMs, () -> arriveAtOwner(event));
      return true;
    }

    private void arriveAtOwner(NodeEvent event) {
      if (open && !sim.areConnected(owner, peer)) {
        lastArrivalAtOwnerMs = Math.max(lastArrivalAtOwnerMs, sim.nowMs() + PARTITION_RETRY_MS);
        sim.atTime(lastArrivalAtOwnerMs, () -> arriveAtOwner(event));
        return;
      }
      queuedToOwner--;
      if (open) {
        lastReceivedMs = sim.nowMs();
        owner.post(event);
      }
    }

    private void ping() {
      if (open) {
        sendToPeer(new NodeEvent.PeerPinged(number, owner.offeredCores));
        sim.after(PING_INTERVAL_MS, this::ping);
      }
    }

    /** Closes the connection on a read timeout. Time in which the owner is paused doesn't count. */
    private void checkReadTimeout() {
      if (!open) {
        return;
      }
      if (owner.isPaused()) {
        lastReceivedMs = sim.nowMs();
      }
      if (sim.nowMs() - lastReceivedMs >= READ_TIMEOUT_MS) {
        close("Read timed out");
      } else {
        sim.after(PING_INTERVAL_MS / 2, this::checkReadTimeout);
      }
    }

    /** Ends the connection because the owner's process has ended. */
    void reset() {
      open = false;
      delivering = false;
    }

    /** Drops the messages on their way to the other end, whose process has ended. */
    void stopDelivering() {
      delivering = false;
    }

    /** Closes the connection for a reason; the owner connects again later. */
    void close(String reason) {
      if (!open) {
        return;
      }
      open = false;
      peer.incomingConnections.remove(number);
      connection = null;
      connectionFailed(peer.address, reason);
    }
  }

  private final NodeSimulation sim;
  private final SimulatedInstance owner;

  /** Address of the planner, null if none is followed. */
  private @Nullable Address plannerAddress;

  /** Open connection, null if there is none. */
  @Nullable Connection connection;

  SimulatedLink(NodeSimulation sim, SimulatedInstance owner) {
    this.sim = sim;
    this.owner = owner;
  }

  /** Links to a planner from now on; an open connection to the same address stays in use. */
  void follow(Address next) {
    boolean same = next.equals(plannerAddress);
    boolean connecting = plannerAddress != null;
    plannerAddress = next;
    Connection current = connection;
    if (current != null && same) {
      owner.post(new NodeEvent.LinkUp(next));
    } else if (current != null) {
      current.close("closed");
    } else if (!connecting) {
      connect(next);
    }
  }

  /** Sends a call to the planner; reports a failure if there is no connection to that address. */
  void sendCall(Address address, long callId, JobCall call) {
    Connection current = connection;
    if (!address.equals(plannerAddress)
        || current == null
        || !current.sendToPeer(new NodeEvent.PeerAsked(current.number, callId, call))) {
      owner.post(new NodeEvent.AskUnsent(address, callId));
    }
  }

  private void connect(Address address) {
    if (owner.terminated) {
      return;
    }
    SimulatedInstance peer = sim.instanceAt(address);
    if (peer == null) {
      sim.after(REFUSAL_DELAY_MS, () -> connectionFailed(address, "connection refused"));
    } else if (!sim.areConnected(owner, peer)) {
      sim.after(CONNECT_TIMEOUT_MS, () -> connectionFailed(address, "connect timed out"));
    } else {
      sim.after(2 * sim.networkDelayMs(), () -> connectionEstablished(address, peer));
    }
  }

  private void connectionEstablished(Address address, SimulatedInstance peer) {
    if (owner.terminated) {
      return;
    }
    if (peer.terminated) {
      connectionFailed(address, "connection reset");
      return;
    }
    Connection newConnection = new Connection(sim.nextConnectionNumber(), peer);
    connection = newConnection;
    peer.incomingConnections.put(newConnection.number, newConnection);
    owner.post(new NodeEvent.LinkUp(address));
    newConnection.ping();
    newConnection.checkReadTimeout();
    if (!address.equals(plannerAddress)) {
      newConnection.close("closed");
    }
  }

  /** Reports that the connection ended or wasn't established, and schedules another attempt. */
  private void connectionFailed(Address address, String reason) {
    owner.post(new NodeEvent.LinkDown(address, reason));
    Address next = plannerAddress;
    if (next != null) {
      sim.after(
          next.equals(address) ? RECONNECT_DELAY_MS : 0,
          () -> connect(next.equals(plannerAddress) ? next : plannerAddress()));
    }
  }

  private Address plannerAddress() {
    Address address = plannerAddress;
    if (address == null) {
      throw new IllegalStateException("no planner is followed");
    }
    return address;
  }
}
