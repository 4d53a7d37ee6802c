package dev.toucanstall.core.job;

import java.util.List;

/** What the planner stores. The newest record of each key stands for the whole past. */
public sealed interface JobRecord {

  /**
   * A job was handed in.
   *
   * @param job the id
   * @param queue the queue's name
   * @param service the pool that ran the queue then
   * @param account the client account, empty on an open queue
   * @param submittedMs when, Unix milliseconds
   * @param spec the job
   */
  record Submitted(
      String job, String queue, String service, String account, long submittedMs, JobSpec spec)
      implements JobRecord {}

  /**
   * How far a job is; replaces earlier records of its kind.
   *
   * @param job the id
   * @param phase how far
   * @param endedMs when it ended, Unix milliseconds, 0 if it has not
   * @param tasks the tasks that have begun
   */
  record Progress(String job, JobPhase phase, long endedMs, List<TaskProgress> tasks)
      implements JobRecord {

    /** Copies the list. */
    public Progress {
      tasks = List.copyOf(tasks);
    }
  }

  /**
   * A job has ended and nothing of it is left on backend servers; replaces all its other records.
   *
   * @param job the id
   * @param queue the queue's name
   * @param phase how it ended
   * @param endedMs when, Unix milliseconds
   */
  record Closed(String job, String queue, JobPhase phase, long endedMs) implements JobRecord {}

  /**
   * A job that ended long ago is forgotten.
   *
   * @param job the id
   */
  record Forgotten(String job) implements JobRecord {}

  /**
   * How far a maintenance wave is; replaces earlier records of the wave.
   *
   * @param wave its number
   * @param begun the machines whose maintenance has begun
   */
  record WaveProgress(int wave, List<String> begun) implements JobRecord {

    /** Copies the list. */
    public WaveProgress {
      begun = List.copyOf(begun);
    }
  }

  /**
   * The orders to move machines that may yet be carried out; replaces the earlier record.
   *
   * @param moves the orders
   */
  record OpenMoves(List<MachineMove> moves) implements JobRecord {

    /** Copies the list. */
    public OpenMoves {
      moves = List.copyOf(moves);
    }
  }

  /**
   * An order to move a machine.
   *
   * @param machine the machine
   * @param service the pool that it joins
   * @param server the backend server that ends with the move, empty if none
   */
  record MachineMove(String machine, String service, String server) {}

  /**
   * How far a task is.
   *
   * @param occurrence the occurrence
   * @param step the step's number
   * @param index the task's number in the step
   * @param phase how far
   * @param run the newest run's number, 0 if none
   * @param server the backend server of a bound task, else empty
   * @param address where that backend server takes orders, empty if there is none
   * @param bornMs when that life of the backend server began
   * @param failures how often it has failed
   * @param saved the newest checkpoint, empty if none
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
      String saved) {}
}
