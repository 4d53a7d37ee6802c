package dev.toucanstall.core.state;

import dev.toucanstall.core.event.Arrival;
import dev.toucanstall.core.model.InstanceId;
import dev.toucanstall.core.model.RequestKey;
import dev.toucanstall.core.model.ServiceId;
import dev.toucanstall.core.model.TeamId;
import dev.toucanstall.core.model.Verdict;
import java.util.List;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;

/**
 * A request that this entry instance has accepted and not yet answered. Immutable.
 *
 * @param number number of the request on this entry instance, increasing
 * @param team team whose share and limit the request counts against
 * @param service resolved service
 * @param arrival the request as the caller sent it
 * @param arrivedAt time of arrival, in nanoseconds of the monotonic clock
 * @param requestKey id of the request across submissions, null if the caller gave none
 * @param failedOn instances on which an attempt failed, in the order of the attempts
 * @param mayHaveRun whether a failed attempt may have run the request
 * @param stage current stage
 */
public record Request(
    long number,
    TeamId team,
    ServiceId service,
    Arrival arrival,
    long arrivedAt,
    @Nullable RequestKey requestKey,
    List<InstanceId> failedOn,
    boolean mayHaveRun,
    RequestStage stage) {

  /**
   * Returns a copy in another stage.
   *
   * @param next the stage
   * @return the new request
   */
  public Request withStage(RequestStage next) {
    return new Request(
        number, team, service, arrival, arrivedAt, requestKey, failedOn, mayHaveRun, next);
  }

  /**
   * Returns a copy with one more failed attempt.
   *
   * @param instance instance on which the attempt failed
   * @param verdict whether the attempt may have run the request
   * @return the new request
   */
  public Request failedOn(InstanceId instance, Verdict verdict) {
    List<InstanceId> instances = Stream.concat(failedOn.stream(), Stream.of(instance)).toList();
    return new Request(
        number,
        team,
        service,
        arrival,
        arrivedAt,
        requestKey,
        instances,
        mayHaveRun || verdict != Verdict.NOT_RUN,
        stage);
  }

  /**
   * Tells whether the id of the request must be claimed before the request runs.
   *
   * @return true if the request is non-idempotent and has an id
   */
  public boolean needsClaim() {
    return !arrival.idempotent() && requestKey != null;
  }

  /**
   * Returns the time by which a backend server has ended the request at the latest, regardless of
   * the caller's own deadline.
   *
   * @param timing the durations in force
   * @return time of arrival plus the maximum deadline, in nanoseconds of the monotonic clock
   */
  public long latestEndAt(Timing timing) {
    return arrivedAt + timing.maxDeadline();
  }
}
