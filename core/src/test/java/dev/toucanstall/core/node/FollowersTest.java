package dev.toucanstall.core.node;

import static com.google.common.truth.Truth.assertThat;

import dev.toucanstall.core.model.InstanceSize;
import org.junit.jupiter.api.Test;

/** Tests the choice of the follower that takes over from a planner. */
final class FollowersTest {

  private static final InstanceSize SMALL = new InstanceSize(0.36, 330, 7);

  private final Followers followers = new Followers();

  private void ping(long fromMs, long untilMs, long link, double cores) {
    for (long nowMs = fromMs; nowMs <= untilMs; nowMs += 200) {
      followers.recordPing(link, cores, nowMs);
    }
  }

  @Test
  void largestFollowerIsChosenAfterOneSecond() {
    ping(0, 800, 1, 0.75);
    ping(0, 800, 2, 1.5);
    assertThat(followers.findSuccessor(SMALL, 800)).isEmpty();
    ping(1_000, 1_000, 1, 0.75);
    ping(1_000, 1_000, 2, 1.5);
    assertThat(followers.findSuccessor(SMALL, 1_000)).hasValue(2L);
  }

  @Test
  void amongEqualFollowersTheFirstLinkedIsChosen() {
    ping(0, 1_000, 7, 1.5);
    ping(0, 1_000, 3, 1.5);
    assertThat(followers.findSuccessor(SMALL, 1_000)).hasValue(3L);
  }

  @Test
  void followerOfSimilarSizeIsNotChosen() {
    ping(0, 2_000, 1, 1.0);
    assertThat(followers.findSuccessor(new InstanceSize(0.75, 430, 140), 2_000)).isEmpty();
  }

  @Test
  void unfitOrUnresponsiveFollowerIsNotChosen() {
    ping(0, 2_000, 1, 1.5);
    followers.recordPing(1, 0, 2_000);
    assertThat(followers.findSuccessor(SMALL, 2_000)).isEmpty();
    ping(2_000, 4_000, 2, 1.5);
    ping(5_200, 5_200, 3, 0.36);
    assertThat(followers.findSuccessor(SMALL, 5_200)).isEmpty();
  }

  @Test
  void clearRemovesFollowers() {
    ping(0, 2_000, 1, 1.5);
    followers.clear(0);
    assertThat(followers.findSuccessor(SMALL, 2_000)).isEmpty();
  }

  @Test
  void instanceOfUnknownSizeHasNoSuccessor() {
    ping(0, 2_000, 1, 1.5);
    assertThat(followers.findSuccessor(InstanceSize.UNKNOWN, 2_000)).isEmpty();
  }
}
