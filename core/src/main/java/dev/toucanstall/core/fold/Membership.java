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
 * Members by the records of the log. Immutable.
 *
 * <p>Members change one at a time. A change is settled once a majority of the members before the
 * change and a majority of those after it have acknowledged it by records in the log; until then a
 * decision of the members needs both majorities. Further changes wait in the order of their
 * offsets.
 *
 * @param active settled members by name
 * @param pending changes that wait; the first one is being acknowledged
 * @param acknowledged members that have acknowledged the first pending change
 * @param epochs last settled sets of members, oldest first, never empty
 */
public record Membership(
    TreePMap<MemberId, Member> active,
    PVector<MemberChange> pending,
    PSet<MemberId> acknowledged,
    PVector<Epoch> epochs) {

  /** Maximum number of retained epochs; members may still use slots of an earlier epoch. */
  public static final int MAX_EPOCHS = 16;

  /** Membership without members. */
  public static final Membership EMPTY =
      new Membership(
          TreePMap.empty(),
          TreePVector.empty(),
          HashTreePSet.empty(),
          TreePVector.singleton(Epoch.NONE));

  /**
   * Returns the newest epoch.
   *
   * @return the epoch
   */
  public Epoch epoch() {
    return epochs.get(epochs.size() - 1);
  }

  /**
   * Returns the groups of which a majority is needed each: the settled members and, if a change is
   * pending, the members after the first pending change.
   *
   * @return one or two sets of members
   */
  public List<Set<MemberId>> quorumGroups() {
    return pending.isEmpty()
        ? List.of(active.keySet())
        : List.of(active.keySet(), afterFirstPending().keySet());
  }

  /**
   * Returns all members, settled and joining.
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
   * Tells whether an incarnation of an entry instance is a settled member.
   *
   * @param id the entry instance
   * @param incarnation the incarnation
   * @return true if so
   */
  public boolean isActive(MemberId id, long incarnation) {
    Member member = active.get(id);
    return member != null && member.incarnation() == incarnation;
  }

  /**
   * Tells whether a set contains a majority of a group.
   *
   * @param present the set
   * @param group the group
   * @return true if the set contains more than half of the group, or the group is empty
   */
  public static boolean isMajority(Collection<MemberId> present, Set<MemberId> group) {
    long count = group.stream().filter(present::contains).count();
    return group.isEmpty() || count * 2 > group.size();
  }

  /**
   * Queues the joining of a member. A later incarnation of a settled member replaces the earlier
   * one at once, since the set of members stays the same; an earlier one is ignored.
   *
   * @param member the member
   * @param offset offset of the record
   * @return the new membership
   */
  public Membership join(Member member, long offset) {
    Member existing = active.get(member.id());
    if (existing != null) {
      return existing.incarnation() >= member.incarnation()
          ? this
          : withActive(active.plus(member.id(), member)).dropPendingOf(member.id());
    }
    Membership without = dropPendingOf(member.id());
    return without.withPending(without.pending.plus(new MemberChange.Joining(offset, member)));
  }

  /**
   * Queues the leaving or eviction of a member.
   *
   * @param going the change
   * @return the new membership, empty if that incarnation is not a settled member or such a change
   *     of the member is pending already
   */
  public Optional<Membership> queueDeparture(MemberChange.Going going) {
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
   * Removes a member at once, since an operator asserts that its process has ended.
   *
   * @param id the member
   * @param offset offset of the record
   * @return the new membership
   */
  public Membership remove(MemberId id, long offset) {
    Membership without = dropPendingOf(id).withActive(active.minus(id));
    return without.withEpoch(offset, Optional.of(id));
  }

  /**
   * Counts an acknowledgement of the first pending change, and settles the change once the needed
   * majorities have acknowledged it.
   *
   * @param member member that acknowledges the change
   * @param change offset of the change
   * @param offset offset of the acknowledgement
   * @return the new membership, empty if the change is not the first pending one or does not wait
   *     for this member
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
    PVector<Epoch> retained = epochs.size() < MAX_EPOCHS ? epochs : epochs.minus(0);
    return new Membership(active, pending, acknowledged, retained.plus(next));
  }

  private Membership withActive(TreePMap<MemberId, Member> members) {
    return new Membership(members, pending, acknowledged, epochs);
  }

  private Membership withPending(PVector<MemberChange> changes) {
    return new Membership(active, changes, acknowledged, epochs);
  }

  private Membership dropPendingOf(MemberId id) {
    PVector<MemberChange> retained =
        TreePVector.from(pending.stream().filter(c -> !c.subject().equals(id)).toList());
    boolean firstStays =
        !pending.isEmpty() && !retained.isEmpty() && retained.get(0).equals(pending.get(0));
    return new Membership(
        active, retained, firstStays ? acknowledged : HashTreePSet.empty(), epochs);
  }
}
