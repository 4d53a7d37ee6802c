package dev.toucanstall.core.state;

import dev.toucanstall.core.model.TeamId;
import java.util.Objects;
import org.pcollections.TreePMap;

/**
 * The waiting requests of a pool and what was learned of its work.
 *
 * @param queuesByTeam the queues that are not empty, by team
 * @param waiting how many requests wait
 * @param running how many of this instance's requests run in the pool
 * @param runningByTeam the same by team, without zeros
 * @param meanRunNanos a moving mean of run times, 0 before the first
 */
public record PoolQueue(
    TreePMap<TeamId, TeamQueue> queuesByTeam,
    int waiting,
    int running,
    TreePMap<TeamId, Integer> runningByTeam,
    double meanRunNanos) {

  /** A pool with no work. */
  public static final PoolQueue EMPTY = new PoolQueue(TreePMap.empty(), 0, 0, TreePMap.empty(), 0);

  private static final double SMOOTHING = 0.05;

  /**
   * Returns the number of a team's waiting requests.
   *
   * @param team the team
   * @return the number
   */
  public int waitingOf(TeamId team) {
    TeamQueue queue = queuesByTeam.get(team);
    return queue == null ? 0 : queue.size();
  }

  /**
   * Returns the number of a team's running requests.
   *
   * @param team the team
   * @return the number
   */
  public int runningOf(TeamId team) {
    return Objects.requireNonNullElse(runningByTeam.get(team), 0);
  }

  /**
   * Returns the pool with a request waiting.
   *
   * @param request the request
   * @return the new value
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
   * Returns the pool with a request no longer waiting.
   *
   * @param request the request
   * @return the new value
   */
  public PoolQueue minusWaiting(Request request) {
    TeamQueue queue = Objects.requireNonNullElse(queuesByTeam.get(request.team()), TeamQueue.EMPTY);
    TeamQueue rest = queue.minus(request.number());
    var next =
        rest.size() == 0
            ? queuesByTeam.minus(request.team())
            : queuesByTeam.plus(request.team(), rest);
    return new PoolQueue(
        next, waiting - queue.size() + rest.size(), running, runningByTeam, meanRunNanos);
  }

  /**
   * Returns the pool with one more request running.
   *
   * @param team the request's team
   * @return the new value
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
   * Returns the pool with one request less running.
   *
   * @param team the request's team
   * @param ranNanos how long it ran
   * @return the new value
   */
  public PoolQueue minusRunning(TeamId team, long ranNanos) {
    int left = runningOf(team) - 1;
    var byTeam = left <= 0 ? runningByTeam.minus(team) : runningByTeam.plus(team, left);
    double mean =
        meanRunNanos == 0 ? ranNanos : meanRunNanos + SMOOTHING * (ranNanos - meanRunNanos);
    return new PoolQueue(queuesByTeam, waiting, running - 1, byTeam, mean);
  }
}
