package dev.toucanstall.testbed.worker;

import dev.toucanstall.testbed.worker.WorkerState.Fault;
import java.util.Map;

/** What the stand-ins for backend servers are to do. */
sealed interface WorkerEffect {

  /**
   * Says how to go on with a request.
   *
   * @param handle the request
   * @param accepted false while the backend server restarts
   * @param fault what goes wrong
   */
  record Admission(long handle, boolean accepted, Fault fault) implements WorkerEffect {}

  /** Confirms a change. */
  record Acknowledged(long handle) implements WorkerEffect {}

  /**
   * Shows the ledger.
   *
   * @param handle who asked
   * @param started how many requests were started
   * @param ended how many ran to their end
   * @param ranTwice how many request ids ran more than once
   * @param cutByRestart how many ran when their backend server was restarted
   * @param mostRunning the most requests that ran at once on one backend server
   * @param mostOfTeam the most requests of each team that ran at once
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
   * Shows the starts of all backend servers.
   *
   * @param handle who asked
   * @param byServer whether each one is up, with its start, by index
   */
  record Incarnations(long handle, Map<Integer, Long> byServer) implements WorkerEffect {}
}
