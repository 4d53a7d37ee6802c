package dev.toucanstall.core.record;

import dev.toucanstall.core.model.InstanceId;
import dev.toucanstall.core.model.MemberId;
import dev.toucanstall.core.model.PoolId;
import dev.toucanstall.core.settings.Assignment;
import java.util.List;

/**
 * Content of a record of the log. Encoded with its kind and component names. The fold, not the
 * writer, decides whether a record takes effect.
 */
public sealed interface RecordBody {

  /**
   * An operator's change of settings.
   *
   * @param subtree path that the operator read before the change
   * @param base version of that subtree when it was read; the change is refused if the subtree has
   *     changed since
   * @param author author of the change, for the history
   * @param assignments new values, all at or below the subtree
   */
  record SettingsChanged(String subtree, long base, String author, List<Assignment> assignments)
      implements RecordBody {

    /** Maximum number of assignments in one change. */
    public static final int MAX_ASSIGNMENTS = 5_000;

    /**
     * Copies the list of assignments.
     *
     * @throws IllegalArgumentException if there are more than {@value #MAX_ASSIGNMENTS} assignments
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
   * An entry instance requests to become a member.
   *
   * @param member the entry instance in its current incarnation
   */
  record MemberJoined(Member member) implements RecordBody {}

  /**
   * A member leaves gracefully: it has no requests in progress, no loans and no claims.
   *
   * @param member name of the member
   * @param incarnation incarnation that leaves
   */
  record MemberLeft(MemberId member, long incarnation) implements RecordBody {}

  /**
   * A member proposes to evict another that is unresponsive.
   *
   * @param member name of the member to evict
   * @param incarnation incarnation to evict
   */
  record MemberEvicted(MemberId member, long incarnation) implements RecordBody {}

  /**
   * An operator asserts that the process of a member has ended. Takes effect without
   * acknowledgements.
   *
   * @param member name of the member
   * @param incarnation incarnation that has ended
   */
  record MemberRemoved(MemberId member, long incarnation) implements RecordBody {}

  /**
   * A member acknowledges the first pending change of members.
   *
   * @param change offset of the change
   */
  record MembershipAcknowledged(long change) implements RecordBody {}

  /**
   * A member reports instances as the platform's list and its own health checks show them.
   *
   * @param observations the instances, each at most once
   */
  record InstancesObserved(List<Observation> observations) implements RecordBody {

    /** Copies the list of observations. */
    public InstancesObserved {
      observations = List.copyOf(observations);
    }
  }

  /**
   * A drain of an instance starts: the instance takes no new requests.
   *
   * @param instance the instance
   * @param reason reason of the drain
   */
  record DrainStarted(InstanceId instance, DrainReason reason) implements RecordBody {}

  /**
   * A drain that is not complete is cancelled.
   *
   * @param instance the instance
   * @param why reason of the cancellation, one sentence for operators
   */
  record DrainCancelled(InstanceId instance, String why) implements RecordBody {}

  /**
   * A drain is complete: every member has folded it and has no requests in flight on the instance.
   *
   * @param instance the instance
   * @param drain offset of the record that started the drain
   */
  record InstanceEmptied(InstanceId instance, long drain) implements RecordBody {}

  /**
   * An empty instance moves to another pool.
   *
   * @param instance the instance
   * @param from pool that the instance leaves
   * @param to pool that the instance joins
   */
  record InstanceMoved(InstanceId instance, PoolId from, PoolId to) implements RecordBody {}

  /**
   * A part of a snapshot of the folded state.
   *
   * @param snapshot name of the snapshot, the same in all its parts
   * @param foldedTo last offset that the snapshot contains
   * @param index index of this part, from 0
   * @param count number of parts
   * @param text this part of the encoded state
   */
  record SnapshotPart(String snapshot, long foldedTo, int index, int count, String text)
      implements RecordBody {}

  /**
   * A record that is malformed or of a kind that this version of the program does not know.
   *
   * @param kind kind as written in the log
   * @param required whether a replica that does not know the kind must stop folding
   */
  record UnknownRecord(String kind, boolean required) implements RecordBody {}
}
