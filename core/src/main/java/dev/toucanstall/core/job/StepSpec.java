package dev.toucanstall.core.job;

import java.util.List;

/**
 * A step of a job: a number of like tasks. Immutable.
 *
 * @param count how many tasks
 * @param need what each task needs
 * @param estimateMs a rough duration in milliseconds, 0 if not told
 * @param after numbers of the steps that must be done before
 * @param checkpoints whether a task saves its progress
 * @param gang whether the tasks run only all together
 * @param sameRack whether the tasks are slow on more than one rack
 * @param label a label that the backend server must have, empty for any
 * @param rack the rack of the data, empty for any
 * @param perServer most tasks on one backend server, 0 for no limit
 * @param copies whether copies of a task may run side by side
 * @param lasting whether the tasks run until the job is cancelled
 * @param image names what the tasks run; tasks of one image behave alike
 * @param targetMs bound for the tail of response times of a lasting task, 0 for none
 * @param fills whether the tasks use only the processors that others leave idle
 * @param mayMiss how many lasting tasks may be away at a time by our own doing
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

  /** Copies the list. */
  public StepSpec {
    after = List.copyOf(after);
  }

  /**
   * Returns what a task takes of the room of a backend server.
   *
   * @return the need, without processors for a step that fills
   */
  public Resources reserved() {
    return fills ? new Resources(0, need.memory(), need.gpu()) : need;
  }
}
