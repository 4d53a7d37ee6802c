package dev.toucanstall.core.state;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class HealthTest {

  @Test
  void repeatedFailuresSuspend() {
    Health health = Health.GOOD.afterFailure(1, 0).afterFailure(1, 0).afterFailure(1, 0);

    assertThat(health.acceptsRequest(1)).isFalse();
    assertThat(health.isProbeDue()).isTrue();
  }

  @Test
  void successBetweenFailuresClearsThem() {
    Health health =
        Health.GOOD.afterFailure(1, 0).afterFailure(1, 0).afterSuccess().afterFailure(1, 0);

    assertThat(health.acceptsRequest(1)).isTrue();
  }

  @Test
  void oneProbeRunsAlone() {
    Health due = new Health(0, 1, 10, false);

    assertThat(due.acceptsRequest(10)).isTrue();
    assertThat(due.afterProbeStart().acceptsRequest(10)).isFalse();
  }

  @Test
  void failedProbeSuspendsForLonger() {
    Health first = new Health(0, 1, 10, true);
    Health again = first.afterFailure(1, 100);

    assertThat(again.suspensions()).isEqualTo(2);
    assertThat(again.suspendedUntil() - 100).isGreaterThan(2_000_000_000L);
  }

  @Test
  void endThatSaysNothingLetsTheNextProbeStart() {
    assertThat(new Health(0, 1, 10, true).afterInconclusiveEnd().acceptsRequest(10)).isTrue();
  }
}
