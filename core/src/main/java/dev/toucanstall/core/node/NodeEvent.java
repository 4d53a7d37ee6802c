package dev.toucanstall.core.node;

import dev.toucanstall.core.job.Catalog;
import dev.toucanstall.core.job.JobAnswer;
import dev.toucanstall.core.job.JobCall;
import dev.toucanstall.core.job.JobRecord;
import dev.toucanstall.core.job.WaveOrder;
import dev.toucanstall.core.model.Address;
import dev.toucanstall.core.plan.PlanEvent;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Events that {@link NodeReducer} handles. The names of the types are also used as metric labels.
 */
public sealed interface NodeEvent {

  /** The periodic timer has fired. */
  record Tick() implements NodeEvent {}

  /**
   * A call of a client has arrived.
   *
   * @param ticket identifies the call in its answer
   * @param call the call
   */
  record Called(long ticket, ClientCall call) implements NodeEvent {}

  /**
   * Another entry instance has forwarded a call to this one as the planner.
   *
   * @param link number of the link that the call arrived over
   * @param number number of the call on that link
   * @param call the call
   */
  record PeerAsked(long link, long number, JobCall call) implements NodeEvent {}

  /**
   * Another entry instance has sent a ping, which queries whether this one is the planner.
   *
   * @param link number of the link that the ping arrived over
   * @param cores processor capacity of the other instance, in cores; 0 if it is not fit to plan
   */
  record PeerPinged(long link, double cores) implements NodeEvent {}

  /**
   * An entry instance has answered a ping by reporting whether it is the planner.
   *
   * @param from address of the reporting instance
   * @param plans whether that instance is the planner and the store has confirmed its epoch
   *     recently
   * @param yields whether this instance should become the planner instead
   * @param logEnd end of the job log after that planner's last confirmed append; not positive if
   *     unknown
   * @param confirmedAgeMs time since that append was sent, in milliseconds
   */
  record PeerPonged(Address from, boolean plans, boolean yields, long logEnd, long confirmedAgeMs)
      implements NodeEvent {

    /** Creates an event that does not tell the end of the job log. */
    public PeerPonged(Address from, boolean plans, boolean yields) {
      this(from, plans, yields, -1, 0);
    }
  }

  /**
   * A remote planner has answered a call.
   *
   * @param from address of the remote planner
   * @param ticket identifies the call
   * @param answer the answer
   */
  record PeerAnswered(Address from, long ticket, JobAnswer answer) implements NodeEvent {}

  /**
   * An entry instance has declined a call, as it is not, or no longer, the planner.
   *
   * @param from address of that instance
   * @param ticket identifies the call
   * @param maybeStored whether the effect of the call may have been stored
   */
  record PeerDeclined(Address from, long ticket, boolean maybeStored) implements NodeEvent {}

  /**
   * A call was not sent, as there is no link to the entry instance or the link is full.
   *
   * @param to address of the entry instance
   * @param ticket identifies the call
   */
  record AskUnsent(Address to, long ticket) implements NodeEvent {}

  /**
   * A reply to another entry instance was not sent, as its link is full. The link stays open.
   *
   * @param reply the reply
   */
  record ReplyUnsent(NodeEffect.PeerReply reply) implements NodeEvent {}

  /**
   * A link to an entry instance has been established.
   *
   * @param address address of that instance
   */
  record LinkUp(Address address) implements NodeEvent {}

  /**
   * A link to an entry instance broke or could not be established.
   *
   * @param address address of that instance
   * @param reason description of the failure
   */
  record LinkDown(Address address, String reason) implements NodeEvent {}

  /**
   * The store has answered a request for the latest configuration.
   *
   * @param requestedMs time of the request, in milliseconds of the monotonic clock
   * @param catalog the latest version, null if there is none later than the last one read
   */
  record CatalogRead(long requestedMs, @Nullable Catalog catalog) implements NodeEvent {}

  /**
   * A maintenance wave that the operators ordered has been read from the store.
   *
   * @param order the order
   */
  record WaveRead(WaveOrder order) implements NodeEvent {}

  /**
   * The store has answered a query for the planner.
   *
   * @param leader the planner, null if the store names none
   */
  record LeaderRead(@Nullable Leader leader) implements NodeEvent {}

  /**
   * The processor capacity of a planner has been read from the store.
   *
   * @param size the capacity
   */
  record LeaderSizeRead(LeaderSize size) implements NodeEvent {}

  /**
   * The group of entry instances has answered a poll for the candidate for planner.
   *
   * @param candidate whether this entry instance is the candidate
   */
  record Joined(boolean candidate) implements NodeEvent {}

  /**
   * This entry instance has won an election and is the planner.
   *
   * @param epoch epoch of the new term, which is also its fencing token
   * @param firstSequence sequence number of the first append of the term
   * @param records the latest record of each key, submissions before progress
   * @param predecessor epoch of the last planner, 0 if there was none, -1 if unknown
   * @param fencedMs time at which the store had fenced the last planner, in milliseconds of the
   *     monotonic clock
   * @param logEnd end of the job log when the last planner was fenced, -1 if unknown
   */
  record Elected(
      long epoch,
      long firstSequence,
      List<JobRecord> records,
      long predecessor,
      long fencedMs,
      long logEnd)
      implements NodeEvent {

    /** Creates an event that tells nothing of the last planner. */
    public Elected(long epoch, long firstSequence, List<JobRecord> records) {
      this(epoch, firstSequence, records, -1, 0, -1);
    }

    /** Copies the list of records. */
    public Elected {
      records = List.copyOf(records);
    }
  }

  /**
   * An election that this entry instance started was lost or failed.
   *
   * @param reason description of the failure
   * @param latestLeader the planner that has a later epoch, null if none is known
   */
  record NotElected(String reason, @Nullable Leader latestLeader) implements NodeEvent {}

  /**
   * An election that this entry instance started was given up, as it can't read all stored records.
   * A later version may have written them.
   *
   * @param reason description of the failure
   */
  record RecordsUnreadable(String reason) implements NodeEvent {}

  /**
   * An event for the planner of this entry instance.
   *
   * @param epoch epoch of the term that the event belongs to; the event is ignored in other terms
   * @param event the event
   */
  record ForPlan(long epoch, PlanEvent event) implements NodeEvent {}

  /**
   * A graceful stop of the process has been requested.
   *
   * @param graceMs time until the process is killed, in milliseconds
   */
  record StopAsked(long graceMs) implements NodeEvent {}
}
