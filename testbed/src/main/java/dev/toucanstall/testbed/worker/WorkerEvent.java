package dev.toucanstall.testbed.worker;

import dev.toucanstall.testbed.worker.WorkerState.Fault;

/** What happens to the stand-ins for backend servers. Times are monotonic nanoseconds. */
sealed interface WorkerEvent {

  /** Time has passed. */
  record Tick(long at) implements WorkerEvent {}

  /** A request arrived at a backend server. */
  record RequestArrived(long at, long handle, int server, String team) implements WorkerEvent {}

  /** A request ran to its end. */
  record RequestEnded(long at, int server, String requestId, String team) implements WorkerEvent {}

  /** A fault begins or, with NONE, ends. */
  record SetFault(long at, long handle, int server, Fault fault) implements WorkerEvent {}

  /** A backend server is to restart. */
  record Restart(long at, long handle, int server) implements WorkerEvent {}

  /** The ledger is asked for. */
  record ShowLedger(long at, long handle) implements WorkerEvent {}

  /** The starts of all backend servers are asked for. */
  record ShowIncarnations(long at, long handle) implements WorkerEvent {}
}
