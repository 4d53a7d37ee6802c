package dev.toucanstall.core.fold;

import dev.toucanstall.core.model.MemberId;
import dev.toucanstall.core.record.Member;
import org.pcollections.TreePMap;

/** A change of one member that waits for acknowledgements. */
public sealed interface MemberChange {

  /**
   * Returns the offset of the record that asked for the change.
   *
   * @return the offset
   */
  long offset();

  /**
   * Returns the member that joins or goes.
   *
   * @return the member's name
   */
  MemberId subject();

  /**
   * Returns the members after this change.
   *
   * @param members the members before it
   * @return the members after it
   */
  TreePMap<MemberId, Member> applyTo(TreePMap<MemberId, Member> members);

  /**
   * A member joins.
   *
   * @param offset the offset of the record
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
   * A member goes, either gracefully or evicted.
   *
   * @param offset the offset of the record
   * @param subject the member
   * @param incarnation the start of it that goes
   * @param graceful whether it said itself that it holds nothing
   */
  record Going(long offset, MemberId subject, long incarnation, boolean graceful)
      implements MemberChange {

    @Override
    public TreePMap<MemberId, Member> applyTo(TreePMap<MemberId, Member> members) {
      return members.minus(subject);
    }
  }
}
