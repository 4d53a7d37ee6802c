package dev.toucanstall.core.model;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

final class RendezvousTest {

  private static final List<MemberId> MEMBERS =
      IntStream.range(0, 8).mapToObj(i -> new MemberId("e" + i)).toList();

  @Test
  void noMembersHaveNoRank() {
    assertThat(Rendezvous.rank("x", List.of())).isEmpty();
  }

  @Test
  void placeIsTheIndexInTheRank() {
    List<MemberId> ranked = Rendezvous.rank("pool/a", MEMBERS);

    for (int i = 0; i < ranked.size(); i++) {
      assertThat(Rendezvous.position("pool/a", MEMBERS, ranked.get(i))).isEqualTo(i);
    }
  }

  @Test
  void rankDoesNotDependOnTheOrderOfMembers() {
    assertThat(Rendezvous.rank("x", MEMBERS.reversed())).isEqualTo(Rendezvous.rank("x", MEMBERS));
  }

  @Test
  void subjectsSpreadOverMembers() {
    long led =
        IntStream.range(0, 8_000)
            .filter(i -> Rendezvous.position("s" + i, MEMBERS, MEMBERS.get(0)) == 0)
            .count();

    assertThat(led).isGreaterThan(800);
    assertThat(led).isLessThan(1_200);
  }
}
