package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.Resources;
import dev.toucanstall.core.job.TaskPhase;
import java.util.List;

/**
 * Decides which tasks must leave a backend server that is draining (it announces that it will stop)
 * or evacuated (the planner empties it), and when.
 *
 * <p>A task is stopped only if another backend server of the service has the free capacity for it.
 * Lasting tasks are stopped at once on a draining backend server, and on an evacuated one as soon
 * as their step may miss one more task. Short tasks are stopped on an evacuated backend server
 * only: those with checkpoints at once, the others after a grace period.
 */
final class Evacuation {

  /** Grace period for short tasks on an evacuated backend server, in milliseconds. */
  private static final long GRACE_MS = 5_000;

  /** Percentage from which a lasting task serves its users. */
  static final int SERVING_PERCENT = 100;

  /**
   * Greatest age of a list of runs that proves a task to be running, in milliseconds since its
   * request; the lease of the task may soon have expired after that. A renewal waits for 2 s at
   * most, so an answered one is not older.
   */
  private static final long MAX_LIST_AGE_MS = 4_500;

  private Evacuation() {}

  /** Stops the tasks that must leave now, on all backend servers that are draining or evacuated. */
  static void advance(Plan plan, Now now) {
    for (Server server : plan.servers.leaving()) {
      if (!server.tasks.isEmpty()) {
        advance(plan, server, now);
      }
    }
  }

  /** Stops the tasks that must leave one backend server now. */
  private static void advance(Plan plan, Server server, Now now) {
    boolean draining = server.entry.draining();
    boolean graceOver = server.evacuating && now.steadyMs() - server.evacuatingSinceMs > GRACE_MS;
    for (Task task : List.copyOf(server.tasks)) {
      if (task.phase != TaskPhase.RUNNING || !fitsElsewhere(plan, server, task)) {
        continue;
      }
      if (task.step.lasting()) {
        if (draining || mayStop(task, now)) {
          OrderRules.stopOnceStored(
              plan, task, later -> server.entry.draining() || mayStop(task, later));
        }
      } else if (graceOver || (task.step.checkpoints() && server.evacuating)) {
        OrderRules.stopOnceStored(plan, task);
      }
    }
  }

  /**
   * Returns whether a lasting task may be stopped: only while fewer other tasks of its step are
   * unavailable than the step may miss, which is at least one.
   */
  static boolean mayStop(Task task, Now now) {
    StepTasks step = task.siblings;
    long unavailable = step.present().filter(t -> t != task && !isServing(t, now)).count();
    return unavailable + step.absentWaiting() < Math.max(1, task.step.mayMiss());
  }

  /**
   * Returns whether a task is surely serving. A task on a backend server that has not answered
   * lately may long be gone.
   */
  private static boolean isServing(Task task, Now now) {
    Server server = task.server;
    return server != null
        && server.answered
        && server.unresponsiveSinceMs == 0
        && !server.unlisted
        && now.steadyMs() - server.listRequestedMs <= MAX_LIST_AGE_MS
        && task.phase == TaskPhase.RUNNING
        && task.percentDone >= SERVING_PERCENT;
  }

  /** Returns whether another backend server of the service has the free capacity for a task. */
  private static boolean fitsElsewhere(Plan plan, Server server, Task task) {
    Resources need = task.step.reserved();
    return plan.servers.byFreeCapacity(task.job.service).descendingMap().values().stream()
        .takeWhile(s -> need.cpu() <= s.freeCapacity().cpu())
        .peek(s -> plan.servers.countExamined())
        .filter(s -> s != server)
        .filter(s -> s.answered && s.unresponsiveSinceMs == 0)
        .filter(s -> !s.unlisted && !s.entry.draining() && !s.evacuating)
        .anyMatch(s -> need.fitsInto(s.freeCapacity()));
  }
}
