package dev.toucanstall.core.state;

import dev.toucanstall.core.model.InstanceId;
import dev.toucanstall.core.model.MemberId;
import dev.toucanstall.core.model.PoolId;
import org.pcollections.PSet;

/** Where a request is. */
public sealed interface Stage {

  /**
   * Its id is being claimed.
   *
   * @param granted the keepers that granted the claim
   * @param askedAt when they were asked
   */
  record Claiming(PSet<MemberId> granted, long askedAt) implements Stage {}

  /**
   * It waits in a queue.
   *
   * @param pool the pool
   */
  record Waiting(PoolId pool) implements Stage {}

  /**
   * It runs.
   *
   * @param pool the pool
   * @param instance the instance
   * @param since when it started
   */
  record Running(PoolId pool, InstanceId instance, long since) implements Stage {}
}
