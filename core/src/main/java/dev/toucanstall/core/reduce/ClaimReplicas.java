package dev.toucanstall.core.reduce;

import dev.toucanstall.core.fold.Epoch;
import dev.toucanstall.core.model.DomainId;
import dev.toucanstall.core.model.MemberId;
import dev.toucanstall.core.model.Rendezvous;
import dev.toucanstall.core.model.RequestKey;
import dev.toucanstall.core.state.State;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.stream.Stream;

/**
 * Selects the members that store the claim of a request id, its replicas. Stateless.
 *
 * <p>A claim has three replicas, in distinct failure domains if there are enough, and two of them
 * must grant it. An earlier epoch stays relevant while claims granted in it may still be within the
 * claim window; the replicas of that epoch must then grant the claim too.
 */
final class ClaimReplicas {

  /** Number of replicas of a claim, fewer if there are fewer members. */
  static final int REPLICA_COUNT = 3;

  private ClaimReplicas() {}

  /**
   * Returns the groups of replicas, of each of which a majority must grant a claim.
   *
   * @return one group for each relevant epoch, or an empty list if a relevant epoch is no longer
   *     retained because too many epochs began within the claim window
   */
  static List<Set<MemberId>> quorumGroups(State state, RequestKey key) {
    List<Epoch> epochs = state.appliedState().membership().epochs();
    long oldestRelevant = state.claims().oldestRelevantEpoch();
    Set<Set<MemberId>> groups = new HashSet<>();
    for (int i = epochs.size() - 1; i >= 0 && epochs.get(i).number() >= 0; i--) {
      groups.add(replicasOf(epochs.get(i), key));
      if (epochs.get(i).number() <= oldestRelevant) {
        return List.copyOf(groups);
      }
    }
    return epochs.get(0).number() >= 0 ? List.of() : List.copyOf(groups);
  }

  /**
   * Advances the oldest epoch with relevant claims to the newest epoch that was applied here longer
   * ago than the claim window.
   */
  static State advanceOldestRelevantEpoch(State state, long now) {
    long newest = state.claims().oldestRelevantEpoch();
    long window = state.localMember().timing().claimWindow();
    for (Epoch epoch : state.appliedState().membership().epochs()) {
      Long foldedAt = state.slots().epochFoldedAt().get(epoch.number());
      if (foldedAt != null && now - foldedAt > window) {
        newest = Math.max(newest, epoch.number());
      }
    }
    return state.withClaims(state.claims().withOldestRelevantEpoch(newest));
  }

  /**
   * Returns the replicas of a claim in an epoch: the best ranked member of each failure domain,
   * then the remaining members, up to the number of replicas.
   */
  static Set<MemberId> replicasOf(Epoch epoch, RequestKey key) {
    List<MemberId> ranked = Rendezvous.rank(key.team().value() + "/" + key.id(), epoch.members());
    Set<DomainId> usedDomains = new HashSet<>();
    List<MemberId> inDistinctDomains = new ArrayList<>();
    for (MemberId member : ranked) {
      if (usedDomains.add(Objects.requireNonNull(epoch.domains().get(member)))) {
        inDistinctDomains.add(member);
      }
    }
    return Set.copyOf(
        Stream.concat(inDistinctDomains.stream(), ranked.stream())
            .distinct()
            .limit(REPLICA_COUNT)
            .toList());
  }
}
