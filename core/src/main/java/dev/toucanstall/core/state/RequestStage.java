package dev.toucanstall.core.state;

import dev.toucanstall.core.model.InstanceId;
import dev.toucanstall.core.model.MemberId;
import dev.toucanstall.core.model.PoolId;
import org.pcollections.PSet;

/** Stage of a request between its arrival and its answer. */
public sealed interface RequestStage {

  /**
   * The id of the request is being claimed.
   *
   * @param grantedBy claim replicas that have granted the claim so far
   * @param requestedAt time at which the claim was requested, in nanoseconds of the monotonic clock
   */
  record Claiming(PSet<MemberId> grantedBy, long requestedAt) implements RequestStage {}

  /**
   * The request waits in the queue of a pool.
   *
   * @param pool the pool
   */
  record Waiting(PoolId pool) implements RequestStage {}

  /**
   * An attempt to run the request is under way.
   *
   * @param pool pool of the instance
   * @param instance instance on which the attempt runs
   * @param startedAt start time of the attempt, in nanoseconds of the monotonic clock
   */
  record Running(PoolId pool, InstanceId instance, long startedAt) implements RequestStage {}
}
