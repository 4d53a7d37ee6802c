package dev.toucanstall.core.fold;

import dev.toucanstall.core.model.DomainId;
import dev.toucanstall.core.model.MemberId;
import java.util.Optional;
import java.util.Set;
import org.pcollections.TreePMap;

/**
 * A settled set of members.
 *
 * @param number the offset of the record that settled it, -1 before the first
 * @param domains the members with their failure domains
 * @param evicted the member whose eviction began this epoch, if any
 */
public record Epoch(long number, TreePMap<MemberId, DomainId> domains, Optional<MemberId> evicted) {

  /** The epoch before the first member. */
  public static final Epoch NONE = new Epoch(-1, TreePMap.empty(), Optional.empty());

  /**
   * Returns the members.
   *
   * @return the names
   */
  public Set<MemberId> members() {
    return domains.keySet();
  }
}
