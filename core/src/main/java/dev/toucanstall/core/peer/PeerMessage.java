package dev.toucanstall.core.peer;

import dev.toucanstall.core.model.InstanceId;
import dev.toucanstall.core.model.RequestKey;
import dev.toucanstall.core.record.LogEntry;
import java.util.List;

/**
 * A message between two entry instances. Encoded as its kind, followed by the components of the
 * record in declaration order. Times are in nanoseconds of the sender's monotonic clock; the
 * receiver can only echo them.
 */
public sealed interface PeerMessage {

  /**
   * Periodic report of the sender's progress.
   *
   * @param sentAt send time by the sender's clock
   * @param echo {@code sentAt} of the last heartbeat from the receiver, 0 if there was none
   * @param folded last folded offset of the sender
   * @param shrunkTo newest epoch to whose allocation the sender's use of slots has shrunk
   * @param cleared newest epoch before which no member uses slots any more
   * @param claimsFrom newest epoch that a member folded longer ago than the claim window
   * @param busy draining instances on which the sender has requests in flight
   * @param digest digest of the sender's folded state at the offset {@code digestAt}
   * @param digestAt offset of the digest
   */
  record Heartbeat(
      long sentAt,
      long echo,
      long folded,
      long shrunkTo,
      long cleared,
      long claimsFrom,
      List<InstanceId> busy,
      long digest,
      long digestAt)
      implements PeerMessage {

    /** Copies the list of instances. */
    public Heartbeat {
      busy = List.copyOf(busy);
    }
  }

  /**
   * Requests a loan of slots.
   *
   * @param ask id that the sender, as the borrower, gave the loan
   * @param key key of the slots
   * @param count maximum number of slots
   */
  record LoanAsked(long ask, SlotKey key, int count) implements PeerMessage {}

  /**
   * Answers {@link LoanAsked}.
   *
   * @param ask id of the loan
   * @param key key of the slots
   * @param count number of lent slots, 0 if the loan is refused
   */
  record LoanAnswered(long ask, SlotKey key, int count) implements PeerMessage {}

  /**
   * Returns the slots of a loan; no request runs on them any more.
   *
   * @param ask id of the loan
   * @param key key of the slots
   */
  record LoanReturned(long ask, SlotKey key) implements PeerMessage {}

  /**
   * Requests a claim replica to record the claim of a request id.
   *
   * @param claim number that the sender gave the claim
   * @param key the request id
   */
  record ClaimAsked(long claim, RequestKey key) implements PeerMessage {}

  /**
   * Answers {@link ClaimAsked}.
   *
   * @param claim number of the claim
   * @param key the request id
   * @param vote answer of the claim replica
   */
  record ClaimAnswered(long claim, RequestKey key, ClaimVote vote) implements PeerMessage {}

  /**
   * Releases a claim, since the request was not run and will not be.
   *
   * @param claim number of the claim
   * @param key the request id
   */
  record ClaimReleased(long claim, RequestKey key) implements PeerMessage {}

  /**
   * Requests records of the log.
   *
   * @param from first requested offset
   */
  record RecordsAsked(long from) implements PeerMessage {}

  /**
   * Passes on records of the log.
   *
   * @param entries consecutive records
   */
  record RecordsGiven(List<LogEntry> entries) implements PeerMessage {

    /** Copies the list of records. */
    public RecordsGiven {
      entries = List.copyOf(entries);
    }
  }

  /**
   * Passes on a caller's cancellation to the entry instance that received the request.
   *
   * @param key the request id
   */
  record CancelPassed(RequestKey key) implements PeerMessage {}

  /**
   * Reports the sender's load to the member that plans the moves of a pool.
   *
   * @param loads loads of pools that are not idle
   */
  record LoadsReported(List<PoolLoad> loads) implements PeerMessage {

    /** Copies the list of loads. */
    public LoadsReported {
      loads = List.copyOf(loads);
    }
  }
}
