package dev.toucanstall.core.node;

import static com.google.common.truth.Truth.assertThat;

import dev.toucanstall.core.plan.Now;
import org.junit.jupiter.api.Test;

/** Tests when an instance knows that earlier planners have not prolonged their leases. */
final class PredecessorContactTest {

  private final PredecessorContact contact = new PredecessorContact();
  private final Followers followers = new Followers();

  private static Now at(long ms) {
    return new Now(ms, ms);
  }

  /** Follows the planner of an epoch for some time, with an answer each 0.2 s. */
  private void follow(long epoch, long fromMs, long untilMs) {
    for (long ms = fromMs; ms <= untilMs; ms += 200) {
      contact.counted(epoch, at(ms));
    }
  }

  @Test
  void followerThatOfferedCapacityAllTheTimeKnows() {
    contact.offersNothing(at(0));
    follow(1, 100, 20_000);
    assertThat(contact.noneProlonged(1, at(21_500))).isTrue();
  }

  /** Guards against a short bound right after the start, or after an outage of the store. */
  @Test
  void followerThatOfferedNothingLatelyDoesNotKnow() {
    contact.offersNothing(at(10_000));
    follow(1, 100, 20_000);
    assertThat(contact.noneProlonged(1, at(21_500))).isFalse();
  }

  /** Guards against a short bound of an instance that the planner does not count any more. */
  @Test
  void instanceWithoutAnswerOfTheLastPlannerDoesNotKnow() {
    contact.offersNothing(at(0));
    follow(1, 100, 20_000);
    assertThat(contact.noneProlonged(1, at(31_000))).isFalse();
    assertThat(contact.noneProlonged(2, at(21_500))).isFalse();
  }

  /** Guards against trusting the planner before the last one, which had prolonged its leases. */
  @Test
  void changeOfPlannersThatDidNotCountThisInstanceIsInDoubt() {
    contact.offersNothing(at(0));
    follow(1, 100, 20_000);
    contact.replaced(2, at(21_000));
    follow(3, 21_100, 23_000);
    assertThat(contact.noneProlonged(3, at(24_000))).isFalse();
    follow(3, 23_000, 40_000);
    assertThat(contact.noneProlonged(3, at(41_000))).isTrue();
  }

  /** Guards against prolonged leases while a follower that was lost may be elected. */
  @Test
  void lostFollowerKeepsThePlannerFromProlongingLeases() {
    assertThat(followers.noneFit(0)).isTrue();
    followers.recordPing(1, 1.5, 1_000);
    followers.recordPing(2, 0, 1_000);
    assertThat(followers.noneFit(1_100)).isFalse();
    followers.recordPing(1, 0, 1_200);
    assertThat(followers.noneFit(1_300)).isTrue();
    followers.recordPing(2, 0, 3_000);
    assertThat(followers.noneFit(3_000)).isFalse();
    followers.recordPing(2, 0, 1_200 + Followers.RETENTION_MS + 100);
    assertThat(followers.noneFit(1_200 + Followers.RETENTION_MS + 100)).isTrue();
  }
}
