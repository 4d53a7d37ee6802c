package dev.toucanstall.core.fold;

import dev.toucanstall.core.model.DomainId;
import dev.toucanstall.core.model.MemberId;
import java.util.Optional;
import java.util.Set;
import org.pcollections.TreePMap;

/**
 * A settled set of members, valid from one record of the log until the next epoch. Immutable.
 *
 * @param number offset of the record that settled the set, -1 before the first
 * @param domains failure domains of the members by name
 * @param evicted member that was evicted or removed at the start of this epoch, empty if the epoch
 *     began otherwise; such a member may not have ended its requests
 */
public record Epoch(long number, TreePMap<MemberId, DomainId> domains, Optional<MemberId> evicted) {

  /** Epoch before the first member has joined. */
  public static final Epoch NONE = new Epoch(-1, TreePMap.empty(), Optional.empty());

  /**
   * Returns the members of the epoch.
   *
   * @return the names, in order
   */
  public Set<MemberId> members() {
    return domains.keySet();
  }
}
