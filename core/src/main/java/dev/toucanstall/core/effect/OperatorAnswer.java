package dev.toucanstall.core.effect;

import dev.toucanstall.core.fold.HistoryEntry;
import dev.toucanstall.core.model.InstanceId;
import dev.toucanstall.core.model.MemberId;
import dev.toucanstall.core.model.PoolId;
import dev.toucanstall.core.model.WaveId;
import java.util.List;
import java.util.SortedMap;

/** Answer to a request of an operator. Encoded with its kind and component names. */
public sealed interface OperatorAnswer {

  /**
   * Settings at and below a path.
   *
   * @param path the path
   * @param version version of the subtree, the base for a change
   * @param values values by path
   */
  record SettingsShown(String path, long version, SortedMap<String, String> values)
      implements OperatorAnswer {}

  /**
   * A change was accepted.
   *
   * @param offset offset of the record of the change
   */
  record Accepted(long offset) implements OperatorAnswer {}

  /**
   * A request was refused and has no effect.
   *
   * @param why reason of the refusal, one sentence
   */
  record Rejected(String why) implements OperatorAnswer {}

  /**
   * A change was neither accepted nor refused in time; it may still be accepted.
   *
   * @param change id of the change, by which its outcome can be requested later
   */
  record Uncertain(String change) implements OperatorAnswer {}

  /**
   * Members on which a record of the log is in force.
   *
   * @param offset offset of the record
   * @param have members that have folded the record
   * @param lack members that are not known to have folded the record
   * @param inForce whether no member that lacks the record can still start requests
   */
  record InForceShown(long offset, List<MemberId> have, List<MemberId> lack, boolean inForce)
      implements OperatorAnswer {}

  /**
   * The last accepted changes of settings.
   *
   * @param entries the changes, oldest first
   */
  record HistoryShown(List<HistoryEntry> entries) implements OperatorAnswer {}

  /**
   * An instance of the fleet.
   *
   * @param id name of the instance
   * @param pool pool of the instance
   * @param phase "serving", "draining" or "empty"
   * @param condition "up", "leaving" or "down"
   * @param domain failure domain of the instance
   * @param running number of requests that this entry instance runs on the instance
   * @param health "good", "suspended" or "probing"
   */
  record InstanceLine(
      InstanceId id,
      PoolId pool,
      String phase,
      String condition,
      String domain,
      int running,
      String health) {}

  /**
   * The instances of the fleet.
   *
   * @param instances the instances in the order of their names
   */
  record InstancesShown(List<InstanceLine> instances) implements OperatorAnswer {}

  /**
   * A maintenance wave and its progress.
   *
   * @param id name of the wave
   * @param pool pool whose instances are restarted
   * @param state "running", "paused" or "done"
   * @param done number of instances that the wave has restarted
   * @param total number of instances of the pool
   * @param underWay instances that are drained or restarted now
   */
  record WaveLine(
      WaveId id, PoolId pool, String state, int done, int total, List<InstanceId> underWay) {}

  /**
   * The waves.
   *
   * @param waves the waves in the order of their names
   */
  record WavesShown(List<WaveLine> waves) implements OperatorAnswer {}

  /**
   * A requested name that matches no service or alias.
   *
   * @param team team whose callers requested the name
   * @param name the name, shortened
   * @param count number of requests
   * @param firstMillisAgo age of the first request in milliseconds
   * @param lastMillisAgo age of the last request in milliseconds
   */
  record UnknownNameLine(
      String team, String name, long count, long firstMillisAgo, long lastMillisAgo) {}

  /**
   * Requested names that match no service or alias.
   *
   * @param names the names, most recently requested first
   */
  record UnknownNamesShown(List<UnknownNameLine> names) implements OperatorAnswer {}

  /**
   * A member as this entry instance knows it.
   *
   * @param id name of the member
   * @param settled whether the joining of the member is settled
   * @param folded last known folded offset of the member, -1 if unknown
   * @param heardMillisAgo age of the last confirmed contact in milliseconds, -1 if there was none
   */
  record MemberLine(MemberId id, boolean settled, long folded, long heardMillisAgo) {}

  /**
   * Requests of a team on this entry instance.
   *
   * @param team name of the team
   * @param running number of running requests
   * @param waiting number of waiting requests
   * @param capacity number of requests of the team that may run on this entry instance
   * @param limit maximum number of running requests of the team across the fleet
   * @param share weight of the team when a pool is full
   */
  record TeamLine(String team, int running, int waiting, int capacity, int limit, int share) {}

  /**
   * Status of this entry instance.
   *
   * @param member name of the entry instance
   * @param incarnation incarnation of the entry instance
   * @param life state of the lifecycle: "joining", "serving", "leaving_balancer", "finishing",
   *     "leaving_members" or "left"
   * @param folded last folded offset
   * @param fresh whether requests may start now
   * @param freshForMillis time in milliseconds for which requests may start without further contact
   *     with the log or a majority of the members, 0 if they may not
   * @param members all members
   * @param teams requests by team
   * @param pendingMembers number of pending changes of members
   */
  record StatusShown(
      MemberId member,
      long incarnation,
      String life,
      long folded,
      boolean fresh,
      long freshForMillis,
      List<MemberLine> members,
      List<TeamLine> teams,
      int pendingMembers)
      implements OperatorAnswer {}

  /**
   * A recorded decision.
   *
   * @param millisAgo age of the decision in milliseconds
   * @param subject thing that the decision concerns, such as "instance/a1"
   * @param rule name of the rule that was applied
   * @param offset last folded offset at the time of the decision
   * @param text the decision and its reason
   */
  record DecisionLine(long millisAgo, String subject, String rule, long offset, String text) {}

  /**
   * Recorded decisions.
   *
   * @param decisions the decisions, oldest first
   */
  record Explained(List<DecisionLine> decisions) implements OperatorAnswer {}
}
