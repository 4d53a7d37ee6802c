package dev.toucanstall.core.model;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Ranks members for a subject by rendezvous hashing: all entry instances compute the same ranking
 * without coordination. Stateless and thread-safe.
 */
public final class Rendezvous {

  private Rendezvous() {}

  /**
   * Ranks members for a subject.
   *
   * @param subject text that identifies the subject
   * @param members the members in any order, may be empty
   * @return the members, first in the ranking first
   */
  public static List<MemberId> rank(String subject, Collection<MemberId> members) {
    Comparator<MemberId> byWeight = Comparator.comparingLong(m -> weight(subject, m));
    return members.stream().sorted(byWeight.thenComparing(Comparator.naturalOrder())).toList();
  }

  /**
   * Returns the position of a member in the ranking for a subject, without sorting.
   *
   * @param subject text that identifies the subject
   * @param members the members in any order
   * @param member member to find, need not be among the members
   * @return number of members before it in the ranking
   */
  public static int position(String subject, Collection<MemberId> members, MemberId member) {
    long ownWeight = weight(subject, member);
    int count = 0;
    for (MemberId other : members) {
      long weight = weight(subject, other);
      if (weight < ownWeight || (weight == ownWeight && other.compareTo(member) < 0)) {
        count++;
      }
    }
    return count;
  }

  private static long weight(String subject, MemberId member) {
    byte[] text = (subject + '\n' + member.value()).getBytes(StandardCharsets.UTF_8);
    return MurmurHash3.hash128x64(text)[0];
  }
}
