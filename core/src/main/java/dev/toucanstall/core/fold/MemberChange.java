package dev.toucanstall.core.fold;

import dev.toucanstall.core.model.MemberId;
import dev.toucanstall.core.record.Member;
import org.pcollections.TreePMap;

/**
 * A change of one member that waits for acknowledgements. Encoded in snapshots with its kind and
 * component names.
 */
public sealed interface MemberChange {

  /**
   * Returns the offset of the record that requested the change.
   *
   * @return the offset
   */
  long offset();

  /**
   * Returns the member that joins or leaves.
   *
   * @return name of the member
   */
  MemberId subject();

  /**
   * Applies this change to a set of members.
   *
   * @param members members before the change, by name
   * @return members after the change, by name
   */
  TreePMap<MemberId, Member> applyTo(TreePMap<MemberId, Member> members);

  /**
   * A member joins.
   *
   * @param offset offset of the record
   * @param member the member
   */
  record Joining(long offset, Member member) implements MemberChange {

    @Override
    public MemberId subject() {
      return member.id();
    }

    @Override
    public TreePMap<MemberId, Member> applyTo(TreePMap<MemberId, Member> members) {
      return members.plus(member.id(), member);
    }
  }

  /**
   * A member leaves or is evicted. The name of this record is a kind in snapshots.
   *
   * @param offset offset of the record
   * @param subject name of the member
   * @param incarnation incarnation of the member that leaves
   * @param graceful true if the member left by itself, without work, loans and claims; false if it
   *     was evicted
   */
  record Going(long offset, MemberId subject, long incarnation, boolean graceful)
      implements MemberChange {

    @Override
    public TreePMap<MemberId, Member> applyTo(TreePMap<MemberId, Member> members) {
      return members.minus(subject);
    }
  }
}
