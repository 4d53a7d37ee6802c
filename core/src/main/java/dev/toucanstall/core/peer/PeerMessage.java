package dev.toucanstall.core.peer;

import dev.toucanstall.core.model.InstanceId;
import dev.toucanstall.core.model.RequestKey;
import dev.toucanstall.core.record.LogEntry;
import java.util.List;

/**
 * A message between two entry instances. Times are nanoseconds of the sender's monotonic clock and
 * mean nothing to the receiver but as an echo.
 */
public sealed interface PeerMessage {

  /**
   * Says that the sender is alive and how far it is.
   *
   * @param sentAt when it was sent, by the sender's clock
   * @param echo the {@code sentAt} of the last heartbeat received from the receiver, 0 if none
   * @param folded the sender's last folded offset
   * @param shrunkTo the newest epoch to whose split the sender's use has shrunk
   * @param cleared the newest epoch before which no member holds anything any more
   * @param claimsFrom the newest epoch that a member folded longer ago than the claim window
   * @param busy draining instances at which the sender has work in flight
   * @param digest a digest of the sender's state at the offset {@code digestAt}
   * @param digestAt the offset of the digest
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

    /** Creates the heartbeat. */
    public Heartbeat {
      busy = List.copyOf(busy);
    }
  }

  /**
   * Asks for a loan of slots.
   *
   * @param ask the sender's number of the question
   * @param key what the slots count
   * @param count how many are wanted
   */
  record LoanAsked(long ask, SlotKey key, int count) implements PeerMessage {}

  /**
   * Answers {@link LoanAsked}.
   *
   * @param ask the number of the question
   * @param key what the slots count
   * @param count how many are lent, 0 for none
   */
  record LoanAnswered(long ask, SlotKey key, int count) implements PeerMessage {}

  /**
   * Returns slots; no work runs under them any more.
   *
   * @param ask the number of the question that brought the loan
   * @param key what the slots count
   */
  record LoanReturned(long ask, SlotKey key) implements PeerMessage {}

  /**
   * Asks a keeper to claim a request id.
   *
   * @param claim the sender's number of the claim
   * @param key the request id
   */
  record ClaimAsked(long claim, RequestKey key) implements PeerMessage {}

  /**
   * Answers {@link ClaimAsked}.
   *
   * @param claim the number of the claim
   * @param key the request id
   * @param vote the keeper's answer
   */
  record ClaimAnswered(long claim, RequestKey key, ClaimVote vote) implements PeerMessage {}

  /**
   * Gives a claim up: the request was not run and will not be.
   *
   * @param claim the number of the claim
   * @param key the request id
   */
  record ClaimReleased(long claim, RequestKey key) implements PeerMessage {}

  /**
   * Asks for records of the log.
   *
   * @param from the first offset wanted
   */
  record RecordsAsked(long from) implements PeerMessage {}

  /**
   * Passes records of the log on.
   *
   * @param entries consecutive records
   */
  record RecordsGiven(List<LogEntry> entries) implements PeerMessage {

    /** Creates the message. */
    public RecordsGiven {
      entries = List.copyOf(entries);
    }
  }

  /**
   * Passes a caller's cancellation on to the instance that holds the request.
   *
   * @param key the request id
   */
  record CancelPassed(RequestKey key) implements PeerMessage {}

  /**
   * Reports the sender's load to the member that plans a pool's moves.
   *
   * @param loads the loads of pools that are not idle
   */
  record LoadsReported(List<PoolLoad> loads) implements PeerMessage {

    /** Creates the message. */
    public LoadsReported {
      loads = List.copyOf(loads);
    }
  }
}
