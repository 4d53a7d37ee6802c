package dev.toucanstall.core.state;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class HealthTest {

  @Test
  void repeatedFailuresSuspendTheInstance() {
    Health health = Health.GOOD.afterFailure(1, 0).afterFailure(1, 0).afterFailure(1, 0);

    assertThat(health.acceptsRequest(1)).isFalse();
    assertThat(health.isProbeDue()).isTrue();
  }

  @Test
  void successResetsTheFailureScore() {
    Health health =
        Health.GOOD.afterFailure(1, 0).afterFailure(1, 0).afterSuccess().afterFailure(1, 0);

    assertThat(health.acceptsRequest(1)).isTrue();
  }

  @Test
  void onlyOneProbeRuns() {
    Health suspended = new Health(0, 1, 10, false);

    assertThat(suspended.acceptsRequest(10)).isTrue();
    assertThat(suspended.afterProbeStart().acceptsRequest(10)).isFalse();
  }

  @Test
  void failedProbeSuspendsForLonger() {
    Health probing = new Health(0, 1, 10, true);
    Health suspendedAgain = probing.afterFailure(1, 100);

    assertThat(suspendedAgain.suspensions()).isEqualTo(2);
    assertThat(suspendedAgain.suspendedUntil() - 100).isGreaterThan(2_000_000_000L);
  }

  @Test
  void inconclusiveEndAllowsTheNextProbe() {
    assertThat(new Health(0, 1, 10, true).afterInconclusiveEnd().acceptsRequest(10)).isTrue();
  }
}
