package dev.toucanstall.core.record;

import dev.toucanstall.core.model.InstanceId;
import dev.toucanstall.core.model.MemberId;
import dev.toucanstall.core.model.PoolId;
import dev.toucanstall.core.settings.Assignment;
import java.util.List;

/** What a record of the log says. The fold, not the writer, decides whether it takes effect. */
public sealed interface RecordBody {

  /**
   * An operator's change of settings.
   *
   * @param subtree the path that the operator read
   * @param base the version of that subtree when it was read
   * @param author who made the change, for the history
   * @param assignments the new values, all at or below the subtree
   */
  record SettingsChanged(String subtree, long base, String author, List<Assignment> assignments)
      implements RecordBody {

    /** Most assignments in one change. */
    public static final int MAX_ASSIGNMENTS = 5_000;

    /**
     * Creates the body.
     *
     * @throws IllegalArgumentException if there are too many assignments
     */
    public SettingsChanged {
      assignments = List.copyOf(assignments);
      if (assignments.size() > MAX_ASSIGNMENTS) {
        throw new IllegalArgumentException(
            "%d assignments are more than %d".formatted(assignments.size(), MAX_ASSIGNMENTS));
      }
    }
  }

  /**
   * An entry instance wants to be a member.
   *
   * @param member the instance as it started
   */
  record MemberJoined(Member member) implements RecordBody {}

  /**
   * A member has stopped gracefully: it holds no work, no loans and no claims.
   *
   * @param member the member
   * @param incarnation the start that left
   */
  record MemberLeft(MemberId member, long incarnation) implements RecordBody {}

  /**
   * A member proposes to evict another that it has not heard from.
   *
   * @param member the member to evict
   * @param incarnation the start to evict
   */
  record MemberEvicted(MemberId member, long incarnation) implements RecordBody {}

  /**
   * An operator asserts that an entry instance has ended; takes effect without acknowledgements.
   *
   * @param member the member that has ended
   * @param incarnation the start that has ended
   */
  record MemberRemoved(MemberId member, long incarnation) implements RecordBody {}

  /**
   * A member has folded the pending change of members.
   *
   * @param change the offset of the change
   */
  record MembershipAcknowledged(long change) implements RecordBody {}

  /**
   * A member reports what the platform's list and its own health checks say of instances.
   *
   * @param observations the instances, each at most once
   */
  record InstancesObserved(List<Observation> observations) implements RecordBody {

    /** Creates the body. */
    public InstancesObserved {
      observations = List.copyOf(observations);
    }
  }

  /**
   * An instance is to take no more work.
   *
   * @param instance the instance
   * @param reason why
   */
  record DrainStarted(InstanceId instance, DrainReason reason) implements RecordBody {}

  /**
   * A drain that is not yet complete is called off.
   *
   * @param instance the instance
   * @param why one sentence for the record of decisions
   */
  record DrainCancelled(InstanceId instance, String why) implements RecordBody {}

  /**
   * Every member has folded the drain and has nothing in flight at the instance.
   *
   * @param instance the instance
   * @param drain the offset of the drain
   */
  record InstanceEmptied(InstanceId instance, long drain) implements RecordBody {}

  /**
   * An empty instance changes its pool.
   *
   * @param instance the instance
   * @param from the pool that it leaves
   * @param to the pool that it joins
   */
  record InstanceMoved(InstanceId instance, PoolId from, PoolId to) implements RecordBody {}

  /**
   * One part of a snapshot of the folded state.
   *
   * @param snapshot the name of the snapshot, the same in all its parts
   * @param foldedTo the last offset that the snapshot contains
   * @param index the number of this part, from 0
   * @param count how many parts there are
   * @param text the part of the encoded state
   */
  record SnapshotPart(String snapshot, long foldedTo, int index, int count, String text)
      implements RecordBody {}

  /**
   * A record that this version of the program does not know, or that is malformed.
   *
   * @param kind the kind as written
   * @param required whether a replica that does not know it must stop folding
   */
  record UnknownRecord(String kind, boolean required) implements RecordBody {}
}
