package dev.toucanstall.core.state;

import dev.toucanstall.core.model.InstanceId;
import dev.toucanstall.core.model.MemberId;
import dev.toucanstall.core.model.PoolId;
import org.pcollections.PSet;

/** Where a request is. */
public sealed interface RequestStage {

  /**
   * Its id is being claimed.
   *
   * @param grantedBy the keepers that granted the claim
   * @param requestedAt when they were asked
   */
  record Claiming(PSet<MemberId> grantedBy, long requestedAt) implements RequestStage {}

  /**
   * It waits in a queue.
   *
   * @param pool the pool
   */
  record Waiting(PoolId pool) implements RequestStage {}

  /**
   * It runs.
   *
   * @param pool the pool
   * @param instance the instance
   * @param startedAt when it started
   */
  record Running(PoolId pool, InstanceId instance, long startedAt) implements RequestStage {}
}
