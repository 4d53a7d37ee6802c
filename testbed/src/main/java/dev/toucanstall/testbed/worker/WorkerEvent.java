package dev.toucanstall.testbed.worker;

import dev.toucanstall.testbed.worker.WorkerState.Fault;

/**
 * Event of the stand-ins for backend servers. {@code at} is the time of the event, in nanoseconds
 * of the monotonic clock; {@code handle} identifies the request that waits for an effect; {@code
 * server} is the index of the backend server.
 */
sealed interface WorkerEvent {

  /** Periodic tick. */
  record Tick(long at) implements WorkerEvent {}

  /** A request arrived at a backend server. */
  record RequestArrived(long at, long handle, int server, String team) implements WorkerEvent {}

  /** A request finished; {@code requestId} is empty if absent or if a fault failed the request. */
  record RequestEnded(long at, int server, String requestId, String team) implements WorkerEvent {}

  /** Request to inject a fault, or to end it with {@link Fault#NONE}. */
  record SetFault(long at, long handle, int server, Fault fault) implements WorkerEvent {}

  /** Request to restart a backend server. */
  record Restart(long at, long handle, int server) implements WorkerEvent {}

  /** Request for the ledger. */
  record ShowLedger(long at, long handle) implements WorkerEvent {}

  /** Request for the incarnations of all backend servers that are up. */
  record ShowIncarnations(long at, long handle) implements WorkerEvent {}
}
