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
 * Chooses the members that keep the claim of a request id. Stateless.
 *
 * <p>Three members keep it, in distinct failure domains where there are as many, and two of them
 * must grant it. While the claims of an earlier epoch may still matter, its keepers are asked too.
 */
final class ClaimKeepers {

  /** How many members keep a claim. */
  static final int KEEPERS = 3;

  private ClaimKeepers() {}

  /**
   * Returns the groups of keepers of which each must grant a claim by its majority; none if so many
   * epochs passed within the claim window that the first of them is forgotten.
   */
  static List<Set<MemberId>> groups(State state, RequestKey key) {
    List<Epoch> epochs = state.appliedState().membership().epochs();
    long settled = state.claims().oldestRelevantEpoch();
    Set<Set<MemberId>> groups = new HashSet<>();
    for (int i = epochs.size() - 1; i >= 0 && epochs.get(i).number() >= 0; i--) {
      groups.add(of(epochs.get(i), key));
      if (epochs.get(i).number() <= settled) {
        return List.copyOf(groups);
      }
    }
    return epochs.get(0).number() >= 0 ? List.of() : List.copyOf(groups);
  }

  /** Notes which epochs were folded longer ago than the claim window. */
  static State settle(State state, long now) {
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

  /** Returns the keepers of a claim in an epoch. */
  static Set<MemberId> of(Epoch epoch, RequestKey key) {
    List<MemberId> ranked = Rendezvous.rank(key.team().value() + "/" + key.id(), epoch.members());
    Set<DomainId> domains = new HashSet<>();
    List<MemberId> apart = new ArrayList<>();
    for (MemberId member : ranked) {
      if (domains.add(Objects.requireNonNull(epoch.domains().get(member)))) {
        apart.add(member);
      }
    }
    return Set.copyOf(
        Stream.concat(apart.stream(), ranked.stream()).distinct().limit(KEEPERS).toList());
  }
}
