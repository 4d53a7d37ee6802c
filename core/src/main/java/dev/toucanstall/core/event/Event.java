package dev.toucanstall.core.event;

import dev.toucanstall.core.fold.AppliedState;
import dev.toucanstall.core.model.InstanceId;
import dev.toucanstall.core.model.KeyDigest;
import dev.toucanstall.core.model.MemberId;
import dev.toucanstall.core.peer.PeerMessage;
import dev.toucanstall.core.record.LogEntry;
import dev.toucanstall.core.record.Observation;
import java.util.List;

/**
 * An event that an entry instance decides on. Times are in nanoseconds of the monotonic clock; no
 * decision depends on wall-clock time. The names of events and of their groups are metric labels.
 */
public sealed interface Event {

  /**
   * Returns the time of the event.
   *
   * @return nanoseconds of the monotonic clock
   */
  long occurredAt();

  /** A read of the log, or a snapshot loaded from it. */
  sealed interface OfLog extends Event {}

  /** A message from a peer, or the opening or loss of a link to a peer. */
  sealed interface OfPeer extends Event {}

  /** The arrival of a request, its cancellation, or the end of its wait or of an attempt. */
  sealed interface OfRequest extends Event {}

  /** A read of the platform's list of instances. */
  sealed interface OfFleet extends Event {}

  /** The arrival of a request of an operator. */
  sealed interface OfOperator extends Event {}

  /** A periodic tick, or a request to stop this entry instance. */
  sealed interface OfLife extends Event {}

  /**
   * A periodic tick, at which everything that has become due is done.
   *
   * @param occurredAt time of the event
   */
  record Tick(long occurredAt) implements OfLife {}

  /**
   * The entry instance is requested to stop gracefully.
   *
   * @param occurredAt time of the event
   */
  record StopRequested(long occurredAt) implements OfLife {}

  /**
   * A read of the log was answered.
   *
   * @param occurredAt time at which the answer arrived
   * @param requestedAt time at which the read was sent
   * @param firstOffset oldest offset that the log still has
   * @param endOffset offset that the next append would have got at some time since {@code
   *     requestedAt}
   * @param entries consecutive records, empty if there are none
   */
  record LogRead(
      long occurredAt, long requestedAt, long firstOffset, long endOffset, List<LogEntry> entries)
      implements OfLog {

    /** Copies the list of records. */
    public LogRead {
      entries = List.copyOf(entries);
    }
  }

  /**
   * A snapshot was read from the log.
   *
   * @param occurredAt time of the event
   * @param appliedState state that the snapshot contains
   */
  record SnapshotLoaded(long occurredAt, AppliedState appliedState) implements OfLog {}

  /**
   * The link to a peer came up or went down.
   *
   * @param occurredAt time of the event
   * @param peer the peer
   * @param connected whether the link is up
   */
  record LinkChanged(long occurredAt, MemberId peer, boolean connected) implements OfPeer {}

  /**
   * A message of a peer arrived.
   *
   * @param occurredAt time of the event
   * @param peer the peer
   * @param incarnation incarnation of the peer that sent the message
   * @param message the message
   */
  record PeerReceived(long occurredAt, MemberId peer, long incarnation, PeerMessage message)
      implements OfPeer {}

  /**
   * A request arrived.
   *
   * @param occurredAt time of the event
   * @param number number that the entry instance gave the request, increasing
   * @param arrival the request as the caller sent it
   */
  record RequestArrived(long occurredAt, long number, Arrival arrival) implements OfRequest {}

  /**
   * An attempt to run a request ended.
   *
   * @param occurredAt time of the event
   * @param number number of the request
   * @param instance instance on which the attempt ran
   * @param result result of the attempt
   */
  record AttemptEnded(long occurredAt, long number, InstanceId instance, AttemptResult result)
      implements OfRequest {}

  /**
   * The deadline of a waiting request has passed, or its caller has disconnected.
   *
   * @param occurredAt time of the event
   * @param number number of the request
   */
  record WaitEnded(long occurredAt, long number) implements OfRequest {}

  /**
   * A caller requested the cancellation of a request by its id.
   *
   * @param occurredAt time of the event
   * @param keyDigest digest of the caller's key
   * @param requestId id of the request
   */
  record CancelAsked(long occurredAt, KeyDigest keyDigest, String requestId) implements OfRequest {}

  /**
   * The platform's list of instances was read.
   *
   * @param occurredAt time of the event
   * @param listed instances on the list
   */
  record ListRead(long occurredAt, List<Observation> listed) implements OfFleet {

    /** Copies the list of instances. */
    public ListRead {
      listed = List.copyOf(listed);
    }
  }

  /**
   * A request of an operator arrived.
   *
   * @param occurredAt time of the event
   * @param handle number that relates the answer to the request, not 0
   * @param request the request
   */
  record OperatorAsked(long occurredAt, long handle, OperatorRequest request)
      implements OfOperator {}
}
