package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.Resources;
import dev.toucanstall.core.job.TaskPhase;
import java.util.List;

/** Decides which tasks leave a backend server that is to be empty, and when. */
final class Evacuation {

  /** Tasks that still run after this time are stopped, in milliseconds. */
  private static final long PATIENCE_MS = 5_000;

  /** Share of its work, in percent, at which a lasting task serves its users. */
  static final int AT_WORK = 100;

  /**
   * A list of runs that was asked for longer ago says nothing of a task, in milliseconds: its lease
   * may soon have run out. Calls wait for two seconds, so one that is answered is not older.
   */
  private static final long FRESH_MS = 4_500;

  private Evacuation() {}

  static void advance(Plan plan, Now now) {
    for (Server server : plan.servers.leaving()) {
      if (!server.tasks.isEmpty()) {
        advance(plan, server, now);
      }
    }
  }

  private static void advance(Plan plan, Server server, Now now) {
    boolean drains = server.entry.draining();
    boolean impatient =
        server.evacuating && now.steadyMs() - server.evacuatingSinceMs > PATIENCE_MS;
    for (Task task : List.copyOf(server.tasks)) {
      if (task.phase != TaskPhase.RUNNING || !roomElsewhere(plan, server, task)) {
        continue;
      }
      if (task.step.lasting()) {
        if (drains || mayStop(task, now)) {
          OrderRules.stopOnceStored(
              plan, task, later -> server.entry.draining() || mayStop(task, later));
        }
      } else if (impatient || (task.step.checkpoints() && server.evacuating)) {
        OrderRules.stopOnceStored(plan, task);
      }
    }
  }

  /** A lasting task may be stopped while fewer others of its step are away than the step bears. */
  static boolean mayStop(Task task, Now now) {
    List<Task> step = task.job.occurrences.get(task.key.occurrence()).get(task.key.step());
    long away = step.stream().filter(t -> t != task && !atWork(t, now)).count();
    return away < Math.max(1, task.step.mayMiss());
  }

  /** A task on a backend server that has not been heard of for a time may long be gone. */
  private static boolean atWork(Task task, Now now) {
    Server on = task.server;
    return on != null
        && on.answered
        && on.silentSinceMs == 0
        && !on.unlisted
        && now.steadyMs() - on.listedMs <= FRESH_MS
        && task.phase == TaskPhase.RUNNING
        && task.percent >= AT_WORK;
  }

  private static boolean roomElsewhere(Plan plan, Server server, Task task) {
    Resources need = task.step.reserved();
    return plan.servers.byFreeCapacity(task.job.service).descendingMap().values().stream()
        .takeWhile(s -> need.cpu() <= s.freeCapacity().cpu())
        .peek(s -> plan.servers.looked())
        .filter(s -> s != server)
        .filter(s -> s.answered && !s.unlisted && !s.entry.draining() && !s.evacuating)
        .anyMatch(s -> need.fitsInto(s.freeCapacity()));
  }
}
