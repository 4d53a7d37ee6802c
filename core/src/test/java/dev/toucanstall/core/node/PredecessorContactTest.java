package dev.toucanstall.core.node;

import static com.google.common.truth.Truth.assertThat;

import dev.toucanstall.core.lease.LeaseBound;
import dev.toucanstall.core.plan.Now;
import dev.toucanstall.core.plan.PlanReducer;
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
    assertThat(contact.prolongedLeasesEndMs(1, at(21_500))).isAtMost(21_500);
  }

  /** Guards against a short bound right after the start, or after an outage of the store. */
  @Test
  void followerThatOfferedNothingLatelyDoesNotKnow() {
    contact.offersNothing(at(10_000));
    follow(1, 100, 20_000);
    long lastPingMs = 10_000 + PredecessorContact.MAX_PING_DELAY_MS;
    assertThat(contact.prolongedLeasesEndMs(1, at(20_000)))
        .isAtLeast(lastPingMs + LeaseBound.LEASE_MS);
  }

  /** Guards against a short bound of an instance that the planner does not count any more. */
  @Test
  void instanceWithoutAnswerOfTheLastPlannerDoesNotKnow() {
    contact.offersNothing(at(0));
    follow(1, 100, 20_000);
    assertThat(contact.prolongedLeasesEndMs(1, at(31_000))).isEqualTo(Long.MAX_VALUE);
    assertThat(contact.prolongedLeasesEndMs(2, at(21_500))).isEqualTo(Long.MAX_VALUE);
  }

  /** Guards against trusting the planner before the last one, which had prolonged its leases. */
  @Test
  void changeOfPlannersThatDidNotCountThisInstanceIsInDoubt() {
    contact.offersNothing(at(0));
    follow(1, 100, 20_000);
    contact.replaced(2, at(21_000));
    follow(3, 21_100, 23_000);
    assertThat(contact.prolongedLeasesEndMs(3, at(24_000)))
        .isAtLeast(21_000 + PlanReducer.OUTAGE_LEASE_HORIZON_MS);
    follow(3, 23_000, 40_000);
    assertThat(contact.prolongedLeasesEndMs(3, at(41_000))).isAtMost(41_000);
  }

  /** Guards against a bound that counts from the election though the planner was lost long ago. */
  @Test
  void confirmationCountsFromTheLastOneThatTheLogHolds() {
    contact.confirmationReported(17, 3_000, 1);
    contact.confirmationReported(17, 3_100, 1);
    assertThat(contact.lastConfirmedMs(1, 17)).hasValue(3_000);
  }

  /** Guards against a bound that misses a confirmation which the planner has not reported. */
  @Test
  void laterAppendOrOtherPlannerMakesTheConfirmationUnknown() {
    contact.confirmationReported(17, 3_000, 1);
    assertThat(contact.lastConfirmedMs(1, 18)).isEmpty();
    assertThat(contact.lastConfirmedMs(2, 17)).isEmpty();
    contact.confirmationReported(0, 5_000, 1);
    assertThat(contact.lastConfirmedMs(1, 0)).isEmpty();
  }

  /**
   * Guards against prolonged leases of a new planner whose followers had no time to ping: it may be
   * cut off from all of them and from the store.
   */
  @Test
  void newPlannerWithoutPingsDoesNotProlongLeases() {
    followers.clear(1_000);
    assertThat(followers.noneFit(1_010)).isFalse();
    followers.recordPing(1, 0, 1_050);
    assertThat(followers.noneFit(1_100)).isFalse();
    followers.clear(1_000);
    assertThat(followers.noneFit(1_000 + Followers.FIRST_PINGS_MS + 1)).isTrue();
  }

  /** Guards against pings that were held up on their way and tell of a past outage. */
  @Test
  void pingsAfterPauseOfTheLinkDoNotProlongLeases() {
    followers.clear(1_000 - Followers.FIRST_PINGS_MS - 1);
    followers.recordPing(1, 0, 1_000);
    followers.recordPing(1, 0, 4_000);
    followers.recordPing(1, 0, 4_010);
    assertThat(followers.noneFit(4_100)).isFalse();
    for (long ms = 4_200; ms <= 9_000; ms += 200) {
      followers.recordPing(1, 0, ms);
    }
    assertThat(followers.noneFit(9_000)).isTrue();
  }

  /** Guards against prolonged leases while a follower that was lost may be elected. */
  @Test
  void lostFollowerKeepsThePlannerFromProlongingLeases() {
    followers.clear(1_000 - Followers.FIRST_PINGS_MS - 1);
    followers.recordPing(1, 1.5, 1_000);
    followers.recordPing(2, 0, 1_000);
    assertThat(followers.noneFit(1_100)).isFalse();
    followers.recordPing(1, 0, 1_200);
    assertThat(followers.noneFit(1_300)).isTrue();
    followers.recordPing(2, 0, 3_000);
    assertThat(followers.noneFit(3_000)).isFalse();
    long recoveredMs = 1_200 + Followers.RETENTION_MS + 100;
    for (long ms = 3_200; ms <= recoveredMs; ms += 200) {
      followers.recordPing(2, 0, ms);
    }
    assertThat(followers.noneFit(recoveredMs)).isTrue();
  }
}
