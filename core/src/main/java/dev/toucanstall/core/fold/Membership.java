package dev.toucanstall.core.fold;

import dev.toucanstall.core.model.DomainId;
import dev.toucanstall.core.model.MemberId;
import dev.toucanstall.core.record.Member;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.pcollections.HashTreePSet;
import org.pcollections.PSet;
import org.pcollections.PVector;
import org.pcollections.TreePMap;
import org.pcollections.TreePVector;

/**
 * The members as the log has them. Immutable.
 *
 * <p>Members change one at a time. A change is settled once a majority of the members before it and
 * of those after it have acknowledged it by records in the log; until then both majorities count.
 * Further changes wait in the order of their offsets.
 *
 * @param active the settled members
 * @param pending the changes that wait, the first one being acknowledged
 * @param acknowledged who acknowledged the first pending change
 * @param epochs the last settled sets of members, oldest first, never empty
 */
public record Membership(
    TreePMap<MemberId, Member> active,
    PVector<MemberChange> pending,
    PSet<MemberId> acknowledged,
    PVector<Epoch> epochs) {

  /** How many epochs are kept for those that still hold slots of an earlier one. */
  public static final int MAX_EPOCHS = 16;

  /** No members. */
  public static final Membership EMPTY =
      new Membership(
          TreePMap.empty(),
          TreePVector.empty(),
          HashTreePSet.empty(),
          TreePVector.singleton(Epoch.NONE));

  /**
   * Returns the newest epoch.
   *
   * @return the settled members with their number
   */
  public Epoch epoch() {
    return epochs.get(epochs.size() - 1);
  }

  /**
   * Returns the groups whose majorities count: the settled members, and those after the first
   * pending change.
   *
   * @return one or two sets of members
   */
  public List<Set<MemberId>> quorumGroups() {
    return pending.isEmpty()
        ? List.of(active.keySet())
        : List.of(active.keySet(), afterFirstPending().keySet());
  }

  /**
   * Returns all members, settled or joining.
   *
   * @return the members by name
   */
  public TreePMap<MemberId, Member> allMembers() {
    TreePMap<MemberId, Member> all = active;
    for (MemberChange change : pending) {
      if (change instanceof MemberChange.Joining joining) {
        all = all.plus(joining.member().id(), joining.member());
      }
    }
    return all;
  }

  /**
   * Tells whether a start of an entry instance is a settled member.
   *
   * @param id the instance
   * @param incarnation the start
   * @return true if so
   */
  public boolean isActive(MemberId id, long incarnation) {
    Member member = active.get(id);
    return member != null && member.incarnation() == incarnation;
  }

  /**
   * Tells whether a set holds a majority of a group. An empty group has one trivially.
   *
   * @param present the set
   * @param group the group
   * @return true if more than half of the group is present
   */
  public static boolean isMajority(Collection<MemberId> present, Set<MemberId> group) {
    long count = group.stream().filter(present::contains).count();
    return group.isEmpty() || count * 2 > group.size();
  }

  /**
   * Queues the joining of a member. A new incarnation of a settled member takes its place at once,
   * since the set of members stays the same.
   *
   * @param member the member
   * @param offset the offset of the record
   * @return the new membership
   */
  public Membership join(Member member, long offset) {
    Member known = active.get(member.id());
    if (known != null) {
      return known.incarnation() >= member.incarnation()
          ? this
          : withActive(active.plus(member.id(), member)).dropPendingOf(member.id());
    }
    Membership without = dropPendingOf(member.id());
    return without.withPending(without.pending.plus(new MemberChange.Joining(offset, member)));
  }

  /**
   * Queues the going of a member.
   *
   * @param going the change
   * @return the new membership, or empty if that start is not a member or goes already
   */
  public Optional<Membership> queueGoing(MemberChange.Going going) {
    boolean queued =
        pending.stream()
            .anyMatch(
                change ->
                    change instanceof MemberChange.Going
                        && change.subject().equals(going.subject()));
    if (queued || !isActive(going.subject(), going.incarnation())) {
      return Optional.empty();
    }
    return Optional.of(withPending(pending.plus(going)));
  }

  /**
   * Removes a member at once, on an operator's word that it has ended.
   *
   * @param id the member
   * @param offset the offset of the record
   * @return the new membership
   */
  public Membership remove(MemberId id, long offset) {
    Membership without = dropPendingOf(id).withActive(active.minus(id));
    return without.withEpoch(offset, Optional.of(id));
  }

  /**
   * Counts an acknowledgement of the first pending change and settles it when it has enough.
   *
   * @param member who acknowledges
   * @param change the offset of the acknowledged change
   * @param offset the offset of the acknowledging record
   * @return the new membership, or empty if that change does not wait for this member
   */
  public Optional<Membership> acknowledge(MemberId member, long change, long offset) {
    boolean awaited =
        !pending.isEmpty()
            && pending.get(0).offset() == change
            && quorumGroups().stream().anyMatch(group -> group.contains(member));
    if (!awaited) {
      return Optional.empty();
    }
    PSet<MemberId> acks = acknowledged.plus(member);
    boolean settled = quorumGroups().stream().allMatch(group -> isMajority(acks, group));
    return Optional.of(
        settled ? settleFirst(offset) : new Membership(active, pending, acks, epochs));
  }

  private Membership settleFirst(long offset) {
    MemberChange first = pending.get(0);
    boolean evicted = first instanceof MemberChange.Going going && !going.graceful();
    Membership settled =
        new Membership(
            afterFirstPending(),
            TreePVector.from(pending.subList(1, pending.size())),
            HashTreePSet.empty(),
            epochs);
    return settled.withEpoch(offset, evicted ? Optional.of(first.subject()) : Optional.empty());
  }

  private TreePMap<MemberId, Member> afterFirstPending() {
    return pending.get(0).applyTo(active);
  }

  private Membership withEpoch(long number, Optional<MemberId> evicted) {
    TreePMap<MemberId, DomainId> domains = TreePMap.empty();
    for (Member member : active.values()) {
      domains = domains.plus(member.id(), member.domain());
    }
    Epoch next = new Epoch(number, domains, evicted);
    PVector<Epoch> kept = epochs.size() < MAX_EPOCHS ? epochs : epochs.minus(0);
    return new Membership(active, pending, acknowledged, kept.plus(next));
  }

  private Membership withActive(TreePMap<MemberId, Member> members) {
    return new Membership(members, pending, acknowledged, epochs);
  }

  private Membership withPending(PVector<MemberChange> changes) {
    return new Membership(active, changes, acknowledged, epochs);
  }

  private Membership dropPendingOf(MemberId id) {
    PVector<MemberChange> kept =
        TreePVector.from(pending.stream().filter(c -> !c.subject().equals(id)).toList());
    boolean firstStays =
        !pending.isEmpty() && !kept.isEmpty() && kept.get(0).equals(pending.get(0));
    return new Membership(active, kept, firstStays ? acknowledged : HashTreePSet.empty(), epochs);
  }
}
