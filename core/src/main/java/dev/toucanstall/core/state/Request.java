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
 * A request that this entry instance holds.
 *
 * @param number the instance's own number of it
 * @param team the team it runs for
 * @param service the service
 * @param arrival what was asked
 * @param arrivedAt when it arrived
 * @param requestKey its id across submissions, null if the caller gave none
 * @param failedOn the instances on which it failed, in order
 * @param mayHaveRun whether one of its attempts may have run it
 * @param stage where it is
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
   * Returns the request in another stage.
   *
   * @param next the stage
   * @return the new request
   */
  public Request withStage(RequestStage next) {
    return new Request(
        number, team, service, arrival, arrivedAt, requestKey, failedOn, mayHaveRun, next);
  }

  /**
   * Returns the request with one more failed attempt.
   *
   * @param instance the instance on which it failed
   * @param verdict whether the attempt may have run it
   * @return the new request
   */
  public Request failedOn(InstanceId instance, Verdict verdict) {
    List<InstanceId> all = Stream.concat(failedOn.stream(), Stream.of(instance)).toList();
    return new Request(
        number,
        team,
        service,
        arrival,
        arrivedAt,
        requestKey,
        all,
        mayHaveRun || verdict != Verdict.NOT_RUN,
        stage);
  }

  /**
   * Tells whether its id is claimed before it runs.
   *
   * @return true if it is non-idempotent and has an id
   */
  public boolean needsClaim() {
    return !arrival.idempotent() && requestKey != null;
  }

  /**
   * Returns when a backend server has ended the request at the latest, however long its caller
   * waits.
   *
   * @param timing the durations
   * @return the longest deadline after its arrival
   */
  public long latestEndAt(Timing timing) {
    return arrivedAt + timing.maxDeadline();
  }
}
