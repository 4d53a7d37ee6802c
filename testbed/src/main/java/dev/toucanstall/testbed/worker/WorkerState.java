package dev.toucanstall.testbed.worker;

import org.pcollections.HashPMap;
import org.pcollections.HashTreePMap;
import org.pcollections.TreePMap;

/**
 * State of all stand-ins for backend servers of one process. Immutable.
 *
 * @param servers backend servers by index
 * @param completions number of completed runs by request id
 * @param maxRunningByTeam maximum number of concurrent requests by team, over all backend servers
 * @param runningByTeam requests that run now, by team
 */
record WorkerState(
    TreePMap<Integer, Backend> servers,
    HashPMap<String, Integer> completions,
    TreePMap<String, Integer> maxRunningByTeam,
    TreePMap<String, Integer> runningByTeam) {

  static WorkerState of(int count) {
    TreePMap<Integer, Backend> servers = TreePMap.empty();
    for (int i = 0; i < count; i++) {
      servers = servers.plus(i, Backend.INITIAL);
    }
    return new WorkerState(servers, HashTreePMap.empty(), TreePMap.empty(), TreePMap.empty());
  }

  /**
   * One backend server.
   *
   * @param incarnation number of the start, from 1
   * @param running requests that run now
   * @param maxRunning maximum number of concurrent requests so far
   * @param started requests that were started
   * @param completed requests that finished
   * @param interruptedByRestart requests that were running at restarts
   * @param fault injected fault
   * @param downUntil end of the restart, in nanoseconds of the monotonic clock
   */
  record Backend(
      long incarnation,
      int running,
      int maxRunning,
      long started,
      long completed,
      long interruptedByRestart,
      Fault fault,
      long downUntil) {

    static final Backend INITIAL = new Backend(1, 0, 0, 0, 0, 0, Fault.NONE, Long.MIN_VALUE);

    Backend plusRunning() {
      return new Backend(
          incarnation,
          running + 1,
          Math.max(maxRunning, running + 1),
          started + 1,
          completed,
          interruptedByRestart,
          fault,
          downUntil);
    }

    Backend minusRunning() {
      return new Backend(
          incarnation,
          running - 1,
          maxRunning,
          started,
          completed + 1,
          interruptedByRestart,
          fault,
          downUntil);
    }

    Backend withFault(Fault next) {
      return new Backend(
          incarnation,
          running,
          maxRunning,
          started,
          completed,
          interruptedByRestart,
          next,
          downUntil);
    }

    Backend restarted(long until) {
      return new Backend(
          incarnation + 1,
          running,
          maxRunning,
          started,
          completed,
          interruptedByRestart + running,
          fault,
          until);
    }
  }

  /** Injected fault of a backend server. */
  enum Fault {
    /** No fault. */
    NONE,
    /** Answers with status 500 at once. */
    FAIL,
    /** Closes the connection instead of answering. */
    DROP,
    /** Sends half of its answer and closes the connection. */
    TRUNCATE,
    /** Answers with another attempt's id. */
    CROSS,
    /** Answers ten seconds late. */
    LATE
  }

  WorkerState withBackend(int index, Backend backend) {
    return new WorkerState(
        servers.plus(index, backend), completions, maxRunningByTeam, runningByTeam);
  }
}
