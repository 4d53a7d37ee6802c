package dev.toucanstall.core.effect;

import dev.toucanstall.core.fold.HistoryEntry;
import dev.toucanstall.core.model.InstanceId;
import dev.toucanstall.core.model.MemberId;
import dev.toucanstall.core.model.PoolId;
import dev.toucanstall.core.model.WaveId;
import java.util.List;
import java.util.SortedMap;

/** The answer to an operator. */
public sealed interface OperatorAnswer {

  /**
   * Settings with the version of their subtree.
   *
   * @param path the path
   * @param version the version to name as the base of a change
   * @param values the values by path
   */
  record SettingsShown(String path, long version, SortedMap<String, String> values)
      implements OperatorAnswer {}

  /**
   * A change was accepted.
   *
   * @param offset the offset of its record
   */
  record Accepted(long offset) implements OperatorAnswer {}

  /**
   * A change was refused and has no effect.
   *
   * @param why one sentence
   */
  record Rejected(String why) implements OperatorAnswer {}

  /**
   * It is not known whether a change was accepted; it may still be.
   *
   * @param change the id to ask by
   */
  record Uncertain(String change) implements OperatorAnswer {}

  /**
   * Where a record is in force.
   *
   * @param offset the record's offset
   * @param have members that have folded it
   * @param lack members that are not known to have folded it
   * @param inForce whether no instance that lacks it can still admit work
   */
  record InForceShown(long offset, List<MemberId> have, List<MemberId> lack, boolean inForce)
      implements OperatorAnswer {}

  /**
   * The last accepted changes.
   *
   * @param entries the changes, oldest first
   */
  record HistoryShown(List<HistoryEntry> entries) implements OperatorAnswer {}

  /**
   * One instance of the fleet.
   *
   * @param id the instance
   * @param pool its pool
   * @param phase "serving", "draining" or "empty"
   * @param condition "up", "leaving" or "down"
   * @param domain its failure domain
   * @param running requests that this entry instance runs on it
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
   * One wave.
   *
   * @param id the wave
   * @param pool the pool it visits
   * @param state "running", "paused" or "done"
   * @param done instances that it has restarted
   * @param total instances of the pool
   * @param underWay instances that it drains or restarts now
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
   * One name that no setting knows.
   *
   * @param team the team whose caller asked for it
   * @param name the name, shortened
   * @param count how often it was asked for
   * @param firstMillisAgo how long ago it was first asked for
   * @param lastMillisAgo how long ago it was last asked for
   */
  record UnknownNameLine(
      String team, String name, long count, long firstMillisAgo, long lastMillisAgo) {}

  /**
   * Names that no setting knows.
   *
   * @param names the names, most recent first
   */
  record UnknownNamesShown(List<UnknownNameLine> names) implements OperatorAnswer {}

  /**
   * How this entry instance sees a member.
   *
   * @param id the member
   * @param settled whether its joining is settled
   * @param folded its last known offset, -1 if unknown
   * @param heardMillisAgo how old the last confirmed contact is, -1 if there was none
   */
  record MemberLine(MemberId id, boolean settled, long folded, long heardMillisAgo) {}

  /**
   * The running requests of a team here.
   *
   * @param team the team
   * @param running requests that run here
   * @param waiting requests that wait here
   * @param capacity slots that it may use here
   * @param limit its upper limit across the fleet
   * @param share its share
   */
  record TeamLine(String team, int running, int waiting, int capacity, int limit, int share) {}

  /**
   * The state of this entry instance.
   *
   * @param member its name
   * @param incarnation its start
   * @param life "joining", "serving", "stopping" or "left"
   * @param folded its last folded offset
   * @param fresh whether it may admit work
   * @param freshForMillis how long it may admit work without further contact
   * @param members how it sees the members
   * @param teams the teams' work here
   * @param pendingMembers changes of members that wait
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
   * One recorded decision.
   *
   * @param millisAgo how long ago it was made
   * @param subject what it is about
   * @param rule the rule that it followed
   * @param offset the offset that was folded when it was made
   * @param text what was decided and why
   */
  record DecisionLine(long millisAgo, String subject, String rule, long offset, String text) {}

  /**
   * Recorded decisions.
   *
   * @param decisions the decisions, oldest first
   */
  record Explained(List<DecisionLine> decisions) implements OperatorAnswer {}
}
