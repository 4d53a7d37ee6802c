package dev.toucanstall.core.lease;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Tests the time by which all leases of a backend server have expired, and what sets it. */
final class LeaseBoundTest {

  private static final long NOW_MS = 20_000;

  /** Guards against a bound that leaves out an order on its way when a restart is suspected. */
  @Test
  void suspectedRestartAwaitsOrdersOnTheirWay() {
    LeaseBound bound = LeaseBound.ofListed(0);
    bound.tokenSeen(10);
    bound.restartSuspected(NOW_MS);
    assertThat(bound.expiredMs()).isAtLeast(LeaseBound.formerClockEndMs(NOW_MS));
    assertThat(bound.source()).isEqualTo(LeaseBound.Source.RESTART_SUSPECTED);
  }

  /** Guards against usual leases that are awaited for as long as those on a former clock. */
  @Test
  void ownLeaseEndsAfterItsLengthOnSlowClock() {
    LeaseBound bound = LeaseBound.ofPredecessors(NOW_MS, NOW_MS);
    bound.given(LeaseBound.LEASE_MS, NOW_MS);
    assertThat(bound.expiredMs() - NOW_MS)
        .isEqualTo(ServerClock.longestDurationMs(LeaseBound.LEASE_MS));
    assertThat(bound.source()).isEqualTo(LeaseBound.Source.OWN_LEASE);
    assertThat(bound.mayBeOnFormerClock(NOW_MS)).isFalse();
  }

  /** Guards against a first answer after a restart that hides a lease on the former clock. */
  @Test
  void tokenSeenAfterRestartLeavesRoomForLongestLease() {
    LeaseBound bound = LeaseBound.ofListed(0);
    bound.tokenSeen(10);
    bound.restarted(NOW_MS);
    assertThat(bound.mayBeOnFormerClock(Long.MAX_VALUE - 1)).isTrue();
    bound.tokenSeen(NOW_MS + 50);
    assertThat(bound.expiredMs()).isAtLeast(NOW_MS + 50 + LeaseBound.MAX_LEASE_MS);
    assertThat(bound.source()).isEqualTo(LeaseBound.Source.FORMER_CLOCK);
    assertThat(bound.mayBeOnFormerClock(bound.expiredMs() - 1)).isTrue();
    assertThat(bound.mayBeOnFormerClock(bound.expiredMs() + LeaseBound.LEASE_MS)).isFalse();
  }

  /** Guards against a next planner that takes a stored lease on a former clock for a usual one. */
  @Test
  void restoredLeaseOnFormerClockOutlastsFirstAnswer() {
    LeaseBound bound = LeaseBound.ofPredecessorsOnFormerClock(NOW_MS);
    bound.tokenSeen(NOW_MS - 9_000);
    assertThat(bound.expiredMs()).isAtLeast(NOW_MS);
    assertThat(bound.expiredMs()).isAtLeast(NOW_MS - 9_000 + LeaseBound.MAX_LEASE_MS);
    assertThat(bound.expiredMs()).isAtMost(LeaseBound.formerClockEndMs(NOW_MS - 9_000));
    assertThat(bound.mayBeOnFormerClock(bound.expiredMs())).isFalse();
    assertThat(bound.source()).isEqualTo(LeaseBound.Source.FORMER_CLOCK);
  }
}
