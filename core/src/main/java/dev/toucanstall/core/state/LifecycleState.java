package dev.toucanstall.core.state;

/**
 * State of an entry instance between its start and its exit. Operators see the lower-case names of
 * the constants.
 */
public enum LifecycleState {
  /** Reads the log and joins; is not yet a settled member. */
  JOINING,
  /** Is a settled member. */
  SERVING,
  /** Fails the readiness check but accepts requests until the load balancer has reacted. */
  LEAVING_BALANCER,
  /** Refuses new requests and finishes those that it has. */
  FINISHING,
  /** Has no requests and waits until its {@code MemberLeft} record is settled. */
  LEAVING_MEMBERS,
  /** Is no longer a member; the process exits. */
  LEFT
}
