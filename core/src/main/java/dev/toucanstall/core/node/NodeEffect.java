package dev.toucanstall.core.node;

import dev.toucanstall.core.job.JobAnswer;
import dev.toucanstall.core.job.JobCall;
import dev.toucanstall.core.model.Address;
import dev.toucanstall.core.plan.PlanEffect;
import java.util.Map;

/**
 * Effects that {@link NodeReducer} returns. The names of the types are also used as metric labels.
 */
public sealed interface NodeEffect {

  /**
   * Answers a client.
   *
   * @param ticket identifies the call
   * @param answer the answer
   */
  record Answer(long ticket, JobAnswer answer) implements NodeEffect {}

  /**
   * Sends a call to a remote planner.
   *
   * @param planner address of the planner
   * @param ticket identifies the call in its answer
   * @param call the call
   */
  record AskPeer(Address planner, long ticket, JobCall call) implements NodeEffect {}

  /**
   * A reply to a call that another entry instance forwarded. A reply that its link does not take is
   * returned in {@link NodeEvent.ReplyUnsent}.
   */
  sealed interface PeerReply extends NodeEffect {

    /**
     * Returns the number of the link that the call arrived over.
     *
     * @return the number of the link
     */
    long link();
  }

  /**
   * Answers a call that another entry instance forwarded.
   *
   * @param link number of the link that the call arrived over
   * @param number number of the call on that link
   * @param answer the answer
   */
  record AnswerPeer(long link, long number, JobAnswer answer) implements PeerReply {}

  /**
   * Answers a ping of another entry instance.
   *
   * @param link number of the link that the ping arrived over
   * @param plans whether this instance is the planner and the store has confirmed its epoch
   *     recently
   * @param yields whether the other instance should become the planner instead
   * @param logEnd end of the job log after this planner's last confirmed append, -1 if unknown
   * @param confirmedAgeMs time since that append was sent, in milliseconds
   */
  record AnswerPing(long link, boolean plans, boolean yields, long logEnd, long confirmedAgeMs)
      implements NodeEffect {}

  /**
   * Declines a call that another entry instance forwarded, as this one is not the planner.
   *
   * @param link number of the link that the call arrived over
   * @param number number of the call on that link
   * @param maybeStored whether the effect of the call may have been stored
   */
  record DeclinePeer(long link, long number, boolean maybeStored) implements PeerReply {}

  /**
   * Establishes and maintains a link to the planner, in place of any earlier planner.
   *
   * @param planner address of the planner
   */
  record Follow(Address planner) implements NodeEffect {}

  /**
   * Starts an election of this entry instance as the planner.
   *
   * @param lastEpoch the highest known epoch, 0 if none is known
   */
  record Elect(long lastEpoch) implements NodeEffect {}

  /**
   * Announces to all entry instances that this one is the planner, and starts to read the list of
   * backend servers.
   *
   * @param epoch epoch of the new term
   */
  record Announce(long epoch) implements NodeEffect {}

  /** Stops reading the list of backend servers at the end of a term. */
  record EndTerm() implements NodeEffect {}

  /**
   * Carries out an effect of the planner.
   *
   * @param epoch epoch of the planner's term
   * @param effect the effect
   */
  record OfPlan(long epoch, PlanEffect effect) implements NodeEffect {}

  /**
   * Sets the rate at which this entry instance polls the group for the candidate for planner.
   *
   * @param plannerMissing whether no active planner is known, so that the group is polled more
   *     often
   */
  record HurryGroup(boolean plannerMissing) implements NodeEffect {}

  /**
   * Joins or leaves the group that names the candidate for planner.
   *
   * @param member whether this entry instance is to be a member
   */
  record SetGroupMembership(boolean member) implements NodeEffect {}

  /**
   * Leaves the group for good, which then names another entry instance as the candidate for
   * planner.
   */
  record LeaveGroup() implements NodeEffect {}

  /**
   * Sets the processor capacity that pings to the planner report.
   *
   * @param cores the capacity, in cores; 0 if this entry instance is not fit to plan
   */
  record OfferCores(double cores) implements NodeEffect {}

  /**
   * Sets the answer to readiness probes.
   *
   * @param ready whether the load balancer should route clients to this entry instance
   */
  record SetReady(boolean ready) implements NodeEffect {}

  /** Closes each connection of a client after its next answer. */
  record EndConnections() implements NodeEffect {}

  /** Exits the process once all emitted answers are written. */
  record Exit() implements NodeEffect {}

  /**
   * Logs an event.
   *
   * @param event stable name of the event
   * @param fields values of the event by field name, in the order of the log line
   */
  record Note(String event, Map<String, String> fields) implements NodeEffect {}
}
