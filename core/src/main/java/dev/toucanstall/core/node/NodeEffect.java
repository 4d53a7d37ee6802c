package dev.toucanstall.core.node;

import dev.toucanstall.core.job.JobAnswer;
import dev.toucanstall.core.job.JobCall;
import dev.toucanstall.core.model.Address;
import dev.toucanstall.core.plan.PlanEffect;
import java.util.Map;

/** What an entry instance wants done. */
public sealed interface NodeEffect {

  /**
   * Answer a client.
   *
   * @param ticket the call
   * @param answer the answer
   */
  record Answer(long ticket, JobAnswer answer) implements NodeEffect {}

  /**
   * Ask the planner.
   *
   * @param planner where it is
   * @param ticket names the call in its answer
   * @param call the call
   */
  record AskPeer(Address planner, long ticket, JobCall call) implements NodeEffect {}

  /**
   * Answer another entry instance.
   *
   * @param link the link that the call came by
   * @param number the call
   * @param answer the answer
   */
  record AnswerPeer(long link, long number, JobAnswer answer) implements NodeEffect {}

  /**
   * Tell another entry instance whether this one plans.
   *
   * @param link the link that it asked by
   * @param plans whether it plans and the store has confirmed it lately
   * @param yields whether the other one should plan instead
   */
  record AnswerPing(long link, boolean plans, boolean yields) implements NodeEffect {}

  /**
   * Tell another entry instance that this one does not plan.
   *
   * @param link the link that the call came by
   * @param number the call
   * @param maybeStored whether the call may have been stored
   */
  record DeclinePeer(long link, long number, boolean maybeStored) implements NodeEffect {}

  /**
   * Keep a link to the planner from now on.
   *
   * @param planner where it is
   */
  record Follow(Address planner) implements NodeEffect {}

  /**
   * Try to become the planner.
   *
   * @param lastEpoch the highest fencing token that is known
   */
  record Elect(long lastEpoch) implements NodeEffect {}

  /**
   * Tell all entry instances that this one plans, and read the list of backend servers.
   *
   * @param epoch its fencing token
   */
  record Announce(long epoch) implements NodeEffect {}

  /** No longer read the list of backend servers. */
  record EndTerm() implements NodeEffect {}

  /**
   * Carry out what the planner wants.
   *
   * @param epoch the term
   * @param effect what
   */
  record OfPlan(long epoch, PlanEffect effect) implements NodeEffect {}

  /**
   * Ask the group more often, or not, whether this instance should plan.
   *
   * @param plannerMissing whether a planner is wanted soon
   */
  record HurryGroup(boolean plannerMissing) implements NodeEffect {}

  /** Leave the group, so that another entry instance plans. */
  record LeaveGroup() implements NodeEffect {}

  /**
   * Answer readiness probes from now on so.
   *
   * @param ready whether the balancer should send clients
   */
  record SetReady(boolean ready) implements NodeEffect {}

  /** End each connection of a client with its next answer. */
  record EndConnections() implements NodeEffect {}

  /** End the process once the answers that were given are written. */
  record Exit() implements NodeEffect {}

  /**
   * Write a log line.
   *
   * @param event the stable name of what was decided
   * @param fields what decided it
   */
  record Note(String event, Map<String, String> fields) implements NodeEffect {}
}
