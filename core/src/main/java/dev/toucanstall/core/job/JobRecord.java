package dev.toucanstall.core.job;

import java.util.List;

/**
 * A record that the planner stores durably. Each record has a key. The latest record of a key
 * supersedes the earlier ones, so that the latest records of all keys are the complete state.
 */
public sealed interface JobRecord {

  /**
   * A job was submitted.
   *
   * @param job the job's id
   * @param queue the queue's name
   * @param service name of the pool that ran the queue's tasks at the time of the submission
   * @param account name of the client account, empty for an anonymous client
   * @param submittedMs time of the submission, in Unix milliseconds
   * @param spec the specification of the job
   */
  record Submitted(
      String job, String queue, String service, String account, long submittedMs, JobSpec spec)
      implements JobRecord {}

  /**
   * The progress of a job and of the tasks of its first part. Supersedes earlier records of this
   * kind. Earlier versions stored all tasks here.
   *
   * @param job the job's id
   * @param phase the phase of the job
   * @param endedMs time at which the job ended, in Unix milliseconds; 0 if it has not ended
   * @param tasks the progress of the tasks that have been started at least once
   */
  record Progress(String job, JobPhase phase, long endedMs, List<TaskProgress> tasks)
      implements JobRecord {

    /** Copies the list of tasks. */
    public Progress {
      tasks = List.copyOf(tasks);
    }
  }

  /**
   * The progress of further tasks of a large job. Supersedes earlier records of the same part; the
   * tasks of the first part are in {@link Progress}.
   *
   * @param job the job's id
   * @param part number of the part, from 1
   * @param tasks the progress of the tasks that have been started at least once; empty if the part
   *     is deleted
   */
  record ProgressPart(String job, int part, List<TaskProgress> tasks) implements JobRecord {

    /** Copies the list of tasks. */
    public ProgressPart {
      tasks = List.copyOf(tasks);
    }
  }

  /**
   * A job has ended and none of its runs is left on a backend server. Supersedes all other records
   * of the job.
   *
   * @param job the job's id
   * @param queue the queue's name
   * @param phase the final phase
   * @param endedMs time at which the job ended, in Unix milliseconds
   */
  record Closed(String job, String queue, JobPhase phase, long endedMs) implements JobRecord {}

  /**
   * A job that ended long ago is deleted: the planner no longer knows its id.
   *
   * @param job the job's id
   */
  record Forgotten(String job) implements JobRecord {}

  /**
   * The progress of a maintenance wave. Supersedes earlier records of the wave.
   *
   * @param wave the wave's number
   * @param begun names of the machines whose maintenance has begun
   */
  record WaveProgress(int wave, List<String> begun) implements JobRecord {

    /** Copies the list of machines. */
    public WaveProgress {
      begun = List.copyOf(begun);
    }
  }

  /**
   * The orders to move machines between pools that may still be carried out. Supersedes the earlier
   * record of this kind.
   *
   * @param moves the open orders
   */
  record OpenMoves(List<MachineMove> moves) implements JobRecord {

    /** Copies the list of moves. */
    public OpenMoves {
      moves = List.copyOf(moves);
    }
  }

  /**
   * An order to move a machine to another pool.
   *
   * @param machine the machine's name
   * @param service name of the pool that the machine joins
   * @param server id of the backend server on the machine, which the move terminates; empty if none
   *     runs there
   */
  record MachineMove(String machine, String service, String server) {}

  /**
   * The orders to maintain machines that may still be carried out. Supersedes the earlier record of
   * this kind.
   *
   * @param orders the open orders; empty if the record is deleted
   */
  record OpenMaintenance(List<MachineMaintenance> orders) implements JobRecord {

    /** Copies the list of orders. */
    public OpenMaintenance {
      orders = List.copyOf(orders);
    }
  }

  /**
   * An order to maintain a machine.
   *
   * @param wave the wave's number
   * @param machine the machine's name
   * @param server id of the backend server on the machine, which the maintenance terminates; empty
   *     if none runs there
   */
  record MachineMaintenance(int wave, String machine, String server) {}

  /**
   * The backend servers that may hold leases on the clock of a former incarnation, which last
   * longer than others. Supersedes the earlier record of this kind.
   *
   * @param servers ids of the backend servers; empty if the record is deleted
   */
  record FormerClockLeases(List<String> servers) implements JobRecord {

    /** Copies the list of ids. */
    public FormerClockLeases {
      servers = List.copyOf(servers);
    }
  }

  /**
   * The starts that were sent to a backend server and that no answer or list accounts for, so that
   * they may yet be carried out under its id. Supersedes the earlier record of that backend server.
   *
   * @param server id of the backend server
   * @param starts the starts; empty if the record is deleted
   */
  record UnaccountedStarts(String server, List<UnaccountedStart> starts) implements JobRecord {

    /** Copies the list of starts. */
    public UnaccountedStarts {
      starts = List.copyOf(starts);
    }
  }

  /**
   * A start of a task's run.
   *
   * @param job the job's id
   * @param occurrence number of the job's occurrence, from 0
   * @param step number of the step in the job, from 0
   * @param index number of the task in the step, from 0
   * @param run number of the run, from 1
   */
  record UnaccountedStart(String job, int occurrence, int step, int index, long run) {}

  /**
   * The progress of a task.
   *
   * @param occurrence number of the job's occurrence, from 0
   * @param step number of the step in the job, from 0
   * @param index number of the task in the step, from 0
   * @param phase the phase of the task
   * @param run number of the latest run, 0 if there was none
   * @param server id of the backend server that a bound task is bound to, empty for other tasks
   * @param address address at which that backend server accepts orders, empty if {@code server} is
   * @param bornMs start time of that backend server's incarnation, in Unix milliseconds; stored
   *     under this name
   * @param failures number of failed runs
   * @param saved the latest checkpoint, empty if there is none; stored under this name
   */
  record TaskProgress(
      int occurrence,
      int step,
      int index,
      TaskPhase phase,
      long run,
      String server,
      String address,
      long bornMs,
      int failures,
      String saved) {

    /**
     * Returns the progress of a task that is done, of which nothing else matters any more.
     *
     * @param task the task
     * @return the progress
     */
    public static TaskProgress done(TaskKey task) {
      return new TaskProgress(
          task.occurrence(), task.step(), task.index(), TaskPhase.DONE, 0, "", "", 0, 0, "");
    }
  }
}
