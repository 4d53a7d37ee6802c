package dev.toucanstall.core.job;

import java.util.List;

/**
 * The specification of a step of a job: a number of identical tasks. Immutable.
 *
 * @param count number of tasks
 * @param need resources that each task requires
 * @param estimateMs the client's estimate of a task's duration, in milliseconds; 0 if there is none
 * @param after numbers of the steps that must be done before this one starts
 * @param checkpoints whether the tasks save checkpoints, from which another run can continue
 * @param gang whether the tasks are a gang: they run all at the same time or not at all
 * @param sameRack whether the tasks run slower if they are spread over several racks
 * @param label label that the backend server must have, empty for any
 * @param rack rack that holds the input data and is preferred, empty for none
 * @param perServer maximum number of tasks on one backend server, 0 for no limit
 * @param copies whether speculative copies of a task may run at the same time
 * @param lasting whether the tasks run until the job is cancelled, as those that serve requests do
 * @param image name of the program that the tasks run; tasks with the same image behave alike
 * @param targetMs upper bound for the tail response time of a lasting task, in milliseconds; 0 for
 *     none
 * @param fills whether the tasks only use processor time that other tasks leave idle
 * @param mayMiss disruption budget: maximum number of lasting tasks that may be out of service at a
 *     time when the planner stops one; values below 1 count as 1
 */
public record StepSpec(
    int count,
    Resources need,
    long estimateMs,
    List<Integer> after,
    boolean checkpoints,
    boolean gang,
    boolean sameRack,
    String label,
    String rack,
    int perServer,
    boolean copies,
    boolean lasting,
    String image,
    long targetMs,
    boolean fills,
    int mayMiss) {

  /** Copies the list of preceding steps. */
  public StepSpec {
    after = List.copyOf(after);
  }

  /**
   * Returns the resources that a task reserves on a backend server.
   *
   * @return the required resources; without processor time if {@link #fills} is true
   */
  public Resources reserved() {
    return fills ? new Resources(0, need.memory(), need.gpu()) : need;
  }
}
