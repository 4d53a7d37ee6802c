package dev.toucanstall.core.model;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

final class RendezvousTest {

  private static final List<MemberId> MEMBERS =
      IntStream.range(0, 8).mapToObj(i -> new MemberId("e" + i)).toList();

  @Test
  void rankingOfNoMembersIsEmpty() {
    assertThat(Rendezvous.rank("x", List.of())).isEmpty();
  }

  @Test
  void positionIsTheIndexInTheRanking() {
    List<MemberId> ranked = Rendezvous.rank("pool/a", MEMBERS);

    for (int i = 0; i < ranked.size(); i++) {
      assertThat(Rendezvous.position("pool/a", MEMBERS, ranked.get(i))).isEqualTo(i);
    }
  }

  @Test
  void rankingDoesNotDependOnTheOrderOfMembers() {
    assertThat(Rendezvous.rank("x", MEMBERS.reversed())).isEqualTo(Rendezvous.rank("x", MEMBERS));
  }

  @Test
  void subjectsAreDistributedEvenly() {
    long firstRanks =
        IntStream.range(0, 8_000)
            .filter(i -> Rendezvous.position("s" + i, MEMBERS, MEMBERS.get(0)) == 0)
            .count();

    assertThat(firstRanks).isGreaterThan(800);
    assertThat(firstRanks).isLessThan(1_200);
  }
}
