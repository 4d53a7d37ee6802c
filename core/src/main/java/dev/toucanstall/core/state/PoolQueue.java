package dev.toucanstall.core.state;

import dev.toucanstall.core.model.TeamId;
import java.util.Objects;
import org.pcollections.TreePMap;

/**
 * Waiting and running requests of one pool on this entry instance. Immutable.
 *
 * @param queuesByTeam non-empty queues by team
 * @param waiting number of waiting requests
 * @param running number of running requests
 * @param runningByTeam number of running requests by team, without zeros
 * @param meanRunNanos exponential moving average of the run time in nanoseconds, 0 before the first
 *     request has ended
 */
public record PoolQueue(
    TreePMap<TeamId, TeamQueue> queuesByTeam,
    int waiting,
    int running,
    TreePMap<TeamId, Integer> runningByTeam,
    double meanRunNanos) {

  /** Queue of a pool without requests. */
  public static final PoolQueue EMPTY = new PoolQueue(TreePMap.empty(), 0, 0, TreePMap.empty(), 0);

  private static final double SMOOTHING_FACTOR = 0.05;

  /**
   * Returns the number of a team's waiting requests.
   *
   * @param team the team
   * @return the number, 0 if the team has none
   */
  public int waitingOf(TeamId team) {
    TeamQueue queue = queuesByTeam.get(team);
    return queue == null ? 0 : queue.size();
  }

  /**
   * Returns the number of a team's running requests.
   *
   * @param team the team
   * @return the number, 0 if the team has none
   */
  public int runningOf(TeamId team) {
    return Objects.requireNonNullElse(runningByTeam.get(team), 0);
  }

  /**
   * Returns a copy with a waiting request added.
   *
   * @param request the request
   * @return the new queue
   */
  public PoolQueue plusWaiting(Request request) {
    TeamQueue queue = Objects.requireNonNullElse(queuesByTeam.get(request.team()), TeamQueue.EMPTY);
    return new PoolQueue(
        queuesByTeam.plus(request.team(), queue.plus(request)),
        waiting + 1,
        running,
        runningByTeam,
        meanRunNanos);
  }

  /**
   * Returns a copy without a waiting request.
   *
   * @param request the request, need not be in the queue
   * @return the new queue
   */
  public PoolQueue minusWaiting(Request request) {
    TeamQueue queue = Objects.requireNonNullElse(queuesByTeam.get(request.team()), TeamQueue.EMPTY);
    TeamQueue remaining = queue.minus(request.number());
    var next =
        remaining.size() == 0
            ? queuesByTeam.minus(request.team())
            : queuesByTeam.plus(request.team(), remaining);
    return new PoolQueue(
        next, waiting - queue.size() + remaining.size(), running, runningByTeam, meanRunNanos);
  }

  /**
   * Returns a copy with one more running request.
   *
   * @param team team of the request
   * @return the new queue
   */
  public PoolQueue plusRunning(TeamId team) {
    return new PoolQueue(
        queuesByTeam,
        waiting,
        running + 1,
        runningByTeam.plus(team, runningOf(team) + 1),
        meanRunNanos);
  }

  /**
   * Returns a copy with one running request less.
   *
   * @param team team of the request
   * @param runNanos run time of the request in nanoseconds
   * @return the new queue
   */
  public PoolQueue minusRunning(TeamId team, long runNanos) {
    int remaining = runningOf(team) - 1;
    var byTeam = remaining <= 0 ? runningByTeam.minus(team) : runningByTeam.plus(team, remaining);
    double mean =
        meanRunNanos == 0 ? runNanos : meanRunNanos + SMOOTHING_FACTOR * (runNanos - meanRunNanos);
    return new PoolQueue(queuesByTeam, waiting, running - 1, byTeam, mean);
  }
}
