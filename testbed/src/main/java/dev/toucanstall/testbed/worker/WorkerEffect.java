package dev.toucanstall.testbed.worker;

import dev.toucanstall.testbed.worker.WorkerState.Fault;
import java.util.Map;

/** Side effect of the stand-ins for backend servers: the reply to a waiting request. */
sealed interface WorkerEffect {

  /**
   * Decision on a request that arrived at a backend server.
   *
   * @param handle handle of the event
   * @param accepted false while the backend server restarts
   * @param fault fault to apply to the answer
   */
  record Admission(long handle, boolean accepted, Fault fault) implements WorkerEffect {}

  /** Confirms a change. */
  record Acknowledged(long handle) implements WorkerEffect {}

  /**
   * Counts over all backend servers of this process, written out as JSON under the names of the
   * components.
   *
   * @param handle handle of the event
   * @param started requests that were started
   * @param ended requests that finished
   * @param ranTwice request ids that ran more than once
   * @param cutByRestart requests that were running when their backend server was restarted
   * @param mostRunning maximum number of concurrent requests on one backend server
   * @param mostOfTeam maximum number of concurrent requests by team
   */
  record Ledger(
      long handle,
      long started,
      long ended,
      long ranTwice,
      long cutByRestart,
      int mostRunning,
      Map<String, Integer> mostOfTeam)
      implements WorkerEffect {}

  /**
   * Incarnations of the backend servers that are up.
   *
   * @param handle handle of the event
   * @param byServer incarnation by index of the backend server
   */
  record Incarnations(long handle, Map<Integer, Long> byServer) implements WorkerEffect {}
}
