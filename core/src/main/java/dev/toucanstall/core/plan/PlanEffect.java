package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.JobAnswer;
import dev.toucanstall.core.job.JobRecord;
import dev.toucanstall.core.job.ServerEntry;
import dev.toucanstall.core.job.TaskKey;
import java.util.List;
import java.util.Map;

/** Action that the planner has decided on and that its caller carries out. */
public sealed interface PlanEffect {

  /**
   * Answers a call of a client account.
   *
   * @param ticket identifies the call
   * @param answer the answer
   */
  record Answer(long ticket, JobAnswer answer) implements PlanEffect {}

  /**
   * Appends records to the store, or only confirms the fencing token if there are none.
   *
   * @param epoch epoch of the planner's term, checked by the store as the fencing token
   * @param sequence number of the append; a number with records is never used for two different
   *     appends
   * @param records the records, empty to confirm the fencing token
   */
  record Append(long epoch, long sequence, List<JobRecord> records) implements PlanEffect {}

  /**
   * Renews the lease of a backend server, acknowledges its finished runs and reads its lists of
   * runs.
   *
   * @param server the backend server
   * @param fencingToken epoch of the planner's term
   * @param acknowledgedCompletion number up to which finished runs are stored, so that the backend
   *     server may forget them
   * @param leaseExpiryMs expiry of the lease in milliseconds of the backend server's monotonic
   *     clock, 0 to renew none
   * @param waitMs longest time that the backend server may wait for a run to finish before it
   *     answers, in milliseconds
   */
  record Hold(
      ServerEntry server,
      long fencingToken,
      long acknowledgedCompletion,
      long leaseExpiryMs,
      long waitMs)
      implements PlanEffect {}

  /**
   * Starts a run.
   *
   * @param server the backend server
   * @param fencingToken epoch of the planner's term
   * @param task the task
   * @param run number of the run
   * @param text text of the job that the task is started with
   * @param checkpoint checkpoint to resume from, empty for none
   * @param deadlineMs latest time of the start and first expiry of the lease, in milliseconds of
   *     the backend server's monotonic clock
   */
  record Start(
      ServerEntry server,
      long fencingToken,
      TaskKey task,
      long run,
      String text,
      String checkpoint,
      long deadlineMs)
      implements PlanEffect {}

  /**
   * Stops a run, or makes sure that it never starts.
   *
   * @param server the backend server
   * @param fencingToken epoch of the planner's term
   * @param task the task
   * @param run number of the run
   */
  record Stop(ServerEntry server, long fencingToken, TaskKey task, long run)
      implements PlanEffect {}

  /**
   * Limits a run to a part of its rate of work.
   *
   * @param server the backend server
   * @param fencingToken epoch of the planner's term
   * @param task the task
   * @param run number of the run
   * @param percent the part, 0 to 100
   */
  record Pace(ServerEntry server, long fencingToken, TaskKey task, long run, int percent)
      implements PlanEffect {}

  /** Requests the list of the platform's machines. */
  record ListMachines() implements PlanEffect {}

  /**
   * Has the platform maintain a machine, which ends all processes on it.
   *
   * @param wave number of the wave
   * @param machine name of the machine
   * @param fencingToken epoch of the planner's term
   */
  record Maintain(int wave, String machine, long fencingToken) implements PlanEffect {}

  /**
   * Has the platform move a machine to another pool, which ends all processes on it.
   *
   * @param machine name of the machine
   * @param service service whose pool the machine joins
   * @param fencingToken epoch of the planner's term
   */
  record Move(String machine, String service, long fencingToken) implements PlanEffect {}

  /**
   * Reports the progress of a wave to the operators.
   *
   * @param wave number of the wave
   * @param completed whether the maintenance of every machine that still exists has begun
   * @param epoch epoch of the planner's term
   */
  record TellWave(int wave, boolean completed, long epoch) implements PlanEffect {}

  /**
   * Ends the planner's term because another planner has taken over.
   *
   * @param reason description of the evidence that another planner has taken over
   */
  record Resign(String reason) implements PlanEffect {}

  /**
   * Writes a log event.
   *
   * @param event stable name of the event
   * @param fields values of the event by name
   */
  record Note(String event, Map<String, String> fields) implements PlanEffect {}
}
