package dev.toucanstall.core.state;

/** Where an entry instance is between its start and its end. */
public enum LifecycleState {
  /** Reads the log and is not yet a settled member. */
  JOINING,
  /** Is a settled member. */
  SERVING,
  /** Fails readiness and still takes requests, so that the balancer can notice. */
  LEAVING_BALANCER,
  /** Refuses new requests and finishes what it has. */
  FINISHING,
  /** Holds nothing and waits for its leave record to be read back. */
  LEAVING_MEMBERS,
  /** Has left. */
  LEFT
}
