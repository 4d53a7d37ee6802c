package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.TaskPhase;
import java.util.HashMap;
import java.util.Map;

/**
 * Counters of the tasks of one step of an occurrence, by phase and by backend server, updated as
 * the tasks change. Owned by the control thread.
 */
final class StepCounts {

  /** Number of bound tasks by backend server, without entries of 0. */
  private final Map<Server, Integer> boundTo = new HashMap<>();

  private final int size;

  private int waiting;

  private int bound;

  private int done;

  /** Creates the counters of a step whose tasks all wait. */
  StepCounts(int size) {
    this.size = size;
    this.waiting = size;
  }

  int waiting() {
    return waiting;
  }

  int bound() {
    return bound;
  }

  /** Returns whether all tasks are done. */
  boolean done() {
    return done == size;
  }

  /** Returns whether some task is neither done nor bound to a backend server. */
  boolean hasUnboundTasks() {
    return bound + done < size;
  }

  /** Returns the number of tasks that are bound to a backend server. */
  int boundTo(Server server) {
    return boundTo.getOrDefault(server, 0);
  }

  void bind(Server server) {
    boundTo.merge(server, 1, Integer::sum);
  }

  void unbind(Server server) {
    boundTo.computeIfPresent(server, (s, count) -> count == 1 ? null : count - 1);
  }

  void phaseChanged(TaskPhase from, TaskPhase to) {
    add(from, -1);
    add(to, 1);
  }

  /** Adds a change to the counter of a phase. Dropped tasks are not counted. */
  private void add(TaskPhase phase, int change) {
    switch (phase) {
      case WAITING -> waiting += change;
      case ORDERED, RUNNING, STOPPING -> bound += change;
      case DONE -> done += change;
      default -> {}
    }
  }
}
