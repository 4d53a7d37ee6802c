package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.TaskPhase;
import java.util.HashMap;
import java.util.Map;

/**
 * How many tasks of one step of an occurrence are how far, and how many are on which backend
 * server, kept as the tasks change. Owned by the control thread.
 */
final class StepCounts {

  private final Map<Server, Integer> boundTo = new HashMap<>();
  private final int size;
  private int waiting;
  private int bound;
  private int done;

  /** Counts a step whose tasks all wait. */
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

  boolean done() {
    return done == size;
  }

  /** Tells whether some task is neither done nor on a backend server. */
  boolean lacks() {
    return bound + done < size;
  }

  int boundTo(Server server) {
    return boundTo.getOrDefault(server, 0);
  }

  void bind(Server server) {
    boundTo.merge(server, 1, Integer::sum);
  }

  void unbind(Server server) {
    boundTo.computeIfPresent(server, (s, count) -> count == 1 ? null : count - 1);
  }

  void turn(TaskPhase from, TaskPhase to) {
    add(from, -1);
    add(to, 1);
  }

  private void add(TaskPhase phase, int change) {
    switch (phase) {
      case WAITING -> waiting += change;
      case ORDERED, RUNNING, STOPPING -> bound += change;
      case DONE -> done += change;
      default -> {}
    }
  }
}
