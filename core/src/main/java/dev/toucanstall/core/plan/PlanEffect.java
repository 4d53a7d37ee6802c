package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.JobAnswer;
import dev.toucanstall.core.job.JobRecord;
import dev.toucanstall.core.job.ServerEntry;
import dev.toucanstall.core.job.TaskKey;
import java.util.List;
import java.util.Map;

/** What the planner wants done. */
public sealed interface PlanEffect {

  /**
   * Answer a call.
   *
   * @param ticket the call
   * @param answer the answer
   */
  record Answer(long ticket, JobAnswer answer) implements PlanEffect {}

  /**
   * Append records to the store, or only confirm the fencing token if there are none.
   *
   * @param epoch the fencing token
   * @param sequence the append's number; the same number is never two appends
   * @param records the records
   */
  record Append(long epoch, long sequence, List<JobRecord> records) implements PlanEffect {}

  /**
   * Renew the lease of a backend server, have ends forgotten, and read its lists.
   *
   * @param server the backend server
   * @param fencingToken the fencing token
   * @param acknowledgedCompletion ends up to here are stored
   * @param leaseExpiryMs the lease's end on the backend server's clock
   * @param waitMs how long it may wait for an end
   */
  record Hold(
      ServerEntry server,
      long fencingToken,
      long acknowledgedCompletion,
      long leaseExpiryMs,
      long waitMs)
      implements PlanEffect {}

  /**
   * Start a run.
   *
   * @param server the backend server
   * @param fencingToken the fencing token
   * @param task the task
   * @param run the run
   * @param text the job's text
   * @param checkpoint the checkpoint to go on from, empty for none
   * @param deadlineMs latest time of the start, and lease, on the backend server's clock
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
   * Stop a run, or see to it that it never starts.
   *
   * @param server the backend server
   * @param fencingToken the fencing token
   * @param task the task
   * @param run the run
   */
  record Stop(ServerEntry server, long fencingToken, TaskKey task, long run)
      implements PlanEffect {}

  /**
   * Let a run work at a part of its rate.
   *
   * @param server the backend server
   * @param fencingToken the fencing token
   * @param task the task
   * @param run the run
   * @param percent the part, 0 to 100
   */
  record Pace(ServerEntry server, long fencingToken, TaskKey task, long run, int percent)
      implements PlanEffect {}

  /** Ask the platform for its machines. */
  record ListMachines() implements PlanEffect {}

  /**
   * Have the platform maintain a machine, which ends all that runs on it.
   *
   * @param wave the wave
   * @param machine the machine
   * @param fencingToken the fencing token
   */
  record Maintain(int wave, String machine, long fencingToken) implements PlanEffect {}

  /**
   * Have the platform move a machine to another pool, which ends all that runs on it.
   *
   * @param machine the machine
   * @param service the pool that it joins
   * @param fencingToken the fencing token
   */
  record Move(String machine, String service, long fencingToken) implements PlanEffect {}

  /**
   * Tell the operators how far a wave is.
   *
   * @param wave the wave
   * @param completed whether the maintenance of every machine that stays has begun
   * @param epoch the term
   */
  record TellWave(int wave, boolean completed, long epoch) implements PlanEffect {}

  /**
   * Stop planning: another planner has taken over.
   *
   * @param reason how it became known
   */
  record Resign(String reason) implements PlanEffect {}

  /**
   * Write a log line.
   *
   * @param event the stable name of what was decided
   * @param fields what decided it
   */
  record Note(String event, Map<String, String> fields) implements PlanEffect {}
}
