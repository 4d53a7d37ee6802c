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

/** What an entry instance is told. */
public sealed interface NodeEvent {

  /** Time has passed. */
  record Tick() implements NodeEvent {}

  /**
   * A client called.
   *
   * @param ticket names the call in its answer
   * @param call the call
   */
  record Called(long ticket, ClientCall call) implements NodeEvent {}

  /**
   * Another entry instance asked.
   *
   * @param link the link that it came by
   * @param number names the call on that link
   * @param call the call
   */
  record PeerAsked(long link, long number, JobCall call) implements NodeEvent {}

  /**
   * Another entry instance wants to know whether this one plans.
   *
   * @param link the link that it came by
   * @param cores its processor time a second, in cores; 0 if it is not fit to plan
   */
  record PeerPinged(long link, double cores) implements NodeEvent {}

  /**
   * The entry instance that is followed has told whether it plans.
   *
   * @param from the entry instance
   * @param plans whether it plans and the store has confirmed it lately
   * @param yields whether it wants this entry instance to plan instead
   */
  record PeerPonged(Address from, boolean plans, boolean yields) implements NodeEvent {}

  /**
   * An entry instance that was asked as the planner answered.
   *
   * @param from the entry instance
   * @param ticket the call
   * @param answer the answer
   */
  record PeerAnswered(Address from, long ticket, JobAnswer answer) implements NodeEvent {}

  /**
   * The entry instance that was asked does not plan, or there is no link to it.
   *
   * @param from the entry instance
   * @param ticket the call
   * @param maybeStored whether the call may have been stored
   */
  record PeerDeclined(Address from, long ticket, boolean maybeStored) implements NodeEvent {}

  /**
   * The link to an entry instance did not take a call.
   *
   * @param to the entry instance
   * @param ticket the call
   */
  record AskUnsent(Address to, long ticket) implements NodeEvent {}

  /**
   * The link to an entry instance works.
   *
   * @param address the entry instance
   */
  record LinkUp(Address address) implements NodeEvent {}

  /**
   * The link to an entry instance broke or could not be made.
   *
   * @param address the entry instance
   * @param reason what went wrong
   */
  record LinkDown(Address address, String reason) implements NodeEvent {}

  /**
   * The store was asked for the newest configuration and answered.
   *
   * @param requestedMs when it was asked, steady milliseconds
   * @param catalog the newest version, null if there is none newer than the last
   */
  record CatalogRead(long requestedMs, @Nullable Catalog catalog) implements NodeEvent {}

  /**
   * The operators want machines maintained.
   *
   * @param order what is wanted
   */
  record WaveRead(WaveOrder order) implements NodeEvent {}

  /**
   * The store was asked who plans and answered.
   *
   * @param leader the planner, null if the store names none
   */
  record LeaderRead(@Nullable Leader leader) implements NodeEvent {}

  /**
   * The group of entry instances has told whether this one should plan.
   *
   * @param candidate whether it should
   */
  record Joined(boolean candidate) implements NodeEvent {}

  /**
   * This entry instance has become the planner.
   *
   * @param epoch its fencing token
   * @param firstSequence the number of its first append
   * @param records the newest record of each key, submissions before progress
   */
  record Elected(long epoch, long firstSequence, List<JobRecord> records) implements NodeEvent {

    /** Copies the list. */
    public Elected {
      records = List.copyOf(records);
    }
  }

  /**
   * This entry instance has not become the planner.
   *
   * @param reason what went wrong
   * @param latestLeader who holds a later epoch, null if none is known
   */
  record NotElected(String reason, @Nullable Leader latestLeader) implements NodeEvent {}

  /**
   * Something for the planner.
   *
   * @param epoch the term that it belongs to
   * @param event what
   */
  record ForPlan(long epoch, PlanEvent event) implements NodeEvent {}

  /**
   * The process is to stop.
   *
   * @param graceMs time until it is killed, in milliseconds
   */
  record StopAsked(long graceMs) implements NodeEvent {}
}
