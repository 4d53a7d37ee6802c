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
 * Something that happened to an entry instance. Times are nanoseconds of its monotonic clock; wall
 * time plays no part in any decision.
 */
public sealed interface Event {

  /**
   * Returns when it happened.
   *
   * @return nanoseconds of the monotonic clock
   */
  long occurredAt();

  /** An event of the log. */
  sealed interface OfLog extends Event {}

  /** An event of the links to peers. */
  sealed interface OfPeer extends Event {}

  /** An event of a request. */
  sealed interface OfRequest extends Event {}

  /** An event of the platform's fleet. */
  sealed interface OfFleet extends Event {}

  /** An event of the operators. */
  sealed interface OfOperator extends Event {}

  /** An event of the instance's own life. */
  sealed interface OfLife extends Event {}

  /**
   * Time has passed.
   *
   * @param occurredAt when
   */
  record Tick(long occurredAt) implements OfLife {}

  /**
   * The instance is to stop gracefully.
   *
   * @param occurredAt when
   */
  record StopRequested(long occurredAt) implements OfLife {}

  /**
   * A read of the log was answered.
   *
   * @param occurredAt when the answer came
   * @param requestedAt when the read was sent
   * @param firstOffset the oldest offset that the log still has
   * @param endOffset the offset that the next append will get, at some moment since {@code askedAt}
   * @param entries consecutive records, may be empty
   */
  record LogRead(
      long occurredAt, long requestedAt, long firstOffset, long endOffset, List<LogEntry> entries)
      implements OfLog {

    /** Creates the event. */
    public LogRead {
      entries = List.copyOf(entries);
    }
  }

  /**
   * A snapshot was read from the log.
   *
   * @param occurredAt when
   * @param appliedState the state it holds
   */
  record SnapshotLoaded(long occurredAt, AppliedState appliedState) implements OfLog {}

  /**
   * A link to a peer came up or went down.
   *
   * @param occurredAt when
   * @param peer the peer
   * @param connected whether it is up
   */
  record LinkChanged(long occurredAt, MemberId peer, boolean connected) implements OfPeer {}

  /**
   * A message of a peer arrived.
   *
   * @param occurredAt when
   * @param peer the peer
   * @param incarnation the start of it that sent the message
   * @param message the message
   */
  record PeerReceived(long occurredAt, MemberId peer, long incarnation, PeerMessage message)
      implements OfPeer {}

  /**
   * A request arrived.
   *
   * @param occurredAt when
   * @param number the instance's own number of it, increasing
   * @param arrival what is asked
   */
  record RequestArrived(long occurredAt, long number, Arrival arrival) implements OfRequest {}

  /**
   * An attempt ended.
   *
   * @param occurredAt when
   * @param number the request's number
   * @param instance where it was tried
   * @param result how it ended
   */
  record AttemptEnded(long occurredAt, long number, InstanceId instance, AttemptResult result)
      implements OfRequest {}

  /**
   * A waiting request's deadline has passed or its caller has gone.
   *
   * @param occurredAt when
   * @param number the request's number
   */
  record WaitEnded(long occurredAt, long number) implements OfRequest {}

  /**
   * A caller cancelled a request by its id.
   *
   * @param occurredAt when
   * @param keyDigest the digest of the caller's key
   * @param requestId the request's id
   */
  record CancelAsked(long occurredAt, KeyDigest keyDigest, String requestId) implements OfRequest {}

  /**
   * The platform's list was read.
   *
   * @param occurredAt when
   * @param listed the instances on it
   */
  record ListRead(long occurredAt, List<Observation> listed) implements OfFleet {

    /** Creates the event. */
    public ListRead {
      listed = List.copyOf(listed);
    }
  }

  /**
   * An operator asks or changes something.
   *
   * @param occurredAt when
   * @param handle what the answer is to name
   * @param request what is asked
   */
  record OperatorAsked(long occurredAt, long handle, OperatorRequest request)
      implements OfOperator {}
}
