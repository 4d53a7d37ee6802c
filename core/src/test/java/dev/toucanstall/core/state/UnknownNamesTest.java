package dev.toucanstall.core.state;

import static com.google.common.truth.Truth.assertThat;

import dev.toucanstall.core.model.TeamId;
import dev.toucanstall.core.state.UnknownNames.RequestedName;
import org.junit.jupiter.api.Test;

final class UnknownNamesTest {

  private static final TeamId TEAM = new TeamId("t");

  @Test
  void repeatedNameIsCounted() {
    UnknownNames names = UnknownNames.EMPTY.plus(TEAM, "new", 1).plus(TEAM, "new", 5);

    assertThat(names.occurrences().get(new RequestedName(TEAM, "new")))
        .isEqualTo(new UnknownNames.Occurrences(2, 1, 5));
  }

  @Test
  void hostileNamesStayWithinBounds() {
    UnknownNames names = UnknownNames.EMPTY;
    for (int i = 0; i < 10_000; i++) {
      names = names.plus(TEAM, "x".repeat(i % 500) + i, i);
    }

    assertThat(names.occurrences().size()).isAtMost(UnknownNames.MAX_PER_TEAM);
    assertThat(
            names.occurrences().keySet().stream().mapToInt(a -> a.name().length()).max().orElse(0))
        .isAtMost(70);
  }

  @Test
  void oneTeamDoesNotPushOutAnothers() {
    UnknownNames names = UnknownNames.EMPTY.plus(new TeamId("quiet"), "rebrand", 1);
    for (int i = 0; i < 1_000; i++) {
      names = names.plus(TEAM, "n" + i, i + 2);
    }

    assertThat(names.occurrences()).containsKey(new RequestedName(new TeamId("quiet"), "rebrand"));
  }
}
