package dev.toucanstall.core.model;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.codec.digest.MurmurHash3;

/** Ranks members for a subject by rendezvous hashing. Stateless and thread-safe. */
public final class Rendezvous {

  private Rendezvous() {}

  /**
   * Ranks members for a subject; every instance computes the same order.
   *
   * @param subject what the members are ranked for
   * @param members the members, may be empty
   * @return the members, best first
   */
  public static List<MemberId> rank(String subject, Collection<MemberId> members) {
    Comparator<MemberId> byWeight = Comparator.comparingLong(m -> weight(subject, m));
    return members.stream().sorted(byWeight.thenComparing(Comparator.naturalOrder())).toList();
  }

  /**
   * Returns the place of a member in the rank for a subject, counted without sorting.
   *
   * @param subject what the members are ranked for
   * @param members the members
   * @param member the member to place, need not be among the members
   * @return how many members come before it
   */
  public static int position(String subject, Collection<MemberId> members, MemberId member) {
    long own = weight(subject, member);
    int before = 0;
    for (MemberId other : members) {
      long weight = weight(subject, other);
      if (weight < own || (weight == own && other.compareTo(member) < 0)) {
        before++;
      }
    }
    return before;
  }

  private static long weight(String subject, MemberId member) {
    byte[] text = (subject + '\n' + member.value()).getBytes(StandardCharsets.UTF_8);
    return MurmurHash3.hash128x64(text)[0];
  }
}
