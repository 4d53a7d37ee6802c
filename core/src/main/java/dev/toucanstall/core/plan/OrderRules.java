package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.TaskKey;
import dev.toucanstall.core.job.TaskPhase;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;

/** Decides when starts and stops of runs are sent. */
final class OrderRules {

  /** Number of unanswered sends of a start after which the run is stopped instead. */
  private static final int MAX_SENDS = 3;

  private OrderRules() {}

  /**
   * Sends the start of a task's run once the intent is stored. Releases the task if the start is
   * not allowed then.
   */
  static void startOnceStored(Plan plan, Task task) {
    sendOnceStored(plan, task, now -> plan.release(task));
  }

  /**
   * Sends the start of a task's run once all changes so far are stored, or runs a fallback if the
   * start is not allowed then. Does neither if the run no longer waits for its start. The start
   * waits further while as many orders are under way as may be, or an acknowledgement is.
   */
  private static void sendOnceStored(Plan plan, Task task, Consumer<Now> fallback) {
    long run = task.run;
    Server server = task.server;
    if (server == null) {
      return;
    }
    plan.orders.startRequested(server);
    plan.ledger.runOnceStored(
        (now, out) ->
            plan.orders.submitStart(
                server, later -> sendIfAwaited(plan, server, task, run, fallback, later), now));
  }

  /** Sends a start whose turn has come, and returns whether it was sent. */
  private static boolean sendIfAwaited(
      Plan plan, Server server, Task task, long run, Consumer<Now> fallback, Now now) {
    plan.orders.startSettled(server);
    if (plan.orders.hasDrained(server)) {
      plan.markForPlacement(server);
    }
    if (!task.awaitsStart(run, server)) {
      return false;
    }
    if (StartConditions.maySend(plan, task, server, now)) {
      sendStart(plan, server, task, now);
      return true;
    }
    fallback.accept(now);
    return false;
  }

  private static void sendStart(Plan plan, Server server, Task task, Now now) {
    plan.orders.sent(server, new OrderWindow.SentOrder(task.key, task.run, false), now);
    task.startsSent++;
    task.startGivenUpMs = 0;
    task.orderedMs = now.steadyMs();
    plan.emit(
        new PlanEffect.Start(
            server.entry,
            server.fencingToken(plan.epoch),
            task.key,
            task.run,
            task.job.spec.text(),
            task.startCheckpoint(),
            server.extendLease(PlanReducer.START_DEADLINE_MS, now.steadyMs())));
  }

  /** Stops a task's run once the cause is stored. */
  static void stopOnceStored(Plan plan, Task task) {
    stopOnceStored(plan, task, now -> true);
  }

  /**
   * Stops a task's run once the stop is stored, if a condition still holds then or the job has
   * ended; else the run continues. A run whose start was not sent is released at once.
   */
  static void stopOnceStored(Plan plan, Task task, Predicate<Now> stillAllowed) {
    if (task.phase == TaskPhase.ORDERED && task.startsSent == 0 && !task.startUnanswered) {
      plan.release(task);
      return;
    }
    task.setPhase(TaskPhase.STOPPING);
    task.stopAwaitsStore = true;
    task.absenceConclusiveAfterMs = 0;
    plan.ledger.changed(task.job);
    long run = task.run;
    plan.ledger.runOnceStored(
        (now, out) -> {
          if (task.phase != TaskPhase.STOPPING || task.run != run) {
            return;
          }
          task.stopAwaitsStore = false;
          if (task.stopSent || task.job.phase.ended() || stillAllowed.test(now)) {
            sendStop(plan, task, now);
          } else {
            continueRun(plan, task, now);
          }
        });
  }

  /** Lets a run continue whose stop was not sent. */
  private static void continueRun(Plan plan, Task task, Now now) {
    task.setPhase(TaskPhase.RUNNING);
    task.absenceConclusiveAfterMs = now.steadyMs();
    plan.ledger.changed(task.job);
  }

  /** Sends the stop of a task's run, which may have to wait until fewer orders are under way. */
  static void sendStop(Plan plan, Task task, Now now) {
    Server server = task.server;
    final long run = task.run;
    if (server == null) {
      return;
    }
    task.stopSent = true;
    task.stopUndelivered = false;
    plan.orders.submit(
        server,
        later -> {
          boolean needed =
              task.phase == TaskPhase.STOPPING && task.run == run && task.server == server;
          if (needed) {
            emitStop(plan, server, task.key, run, later);
          }
          return needed;
        },
        now);
  }

  /**
   * Stops a run that the planner does not know. Does nothing while the same stop or as many orders
   * as may be are under way: the next list shows the run again.
   */
  static void stopUnknown(Plan plan, Server server, TaskKey key, long run, Now now) {
    if (plan.orders.hasRoom(server)
        && !plan.orders.isUnderWay(new OrderWindow.SentOrder(key, run, true))) {
      emitStop(plan, server, key, run, now);
    }
  }

  private static void emitStop(Plan plan, Server server, TaskKey key, long run, Now now) {
    plan.orders.sent(server, new OrderWindow.SentOrder(key, run, true), now);
    plan.emit(new PlanEffect.Stop(server.entry, server.fencingToken(plan.epoch), key, run));
  }

  /**
   * Sends the starts again that had no answer and whose runs the lists of a backend server lack;
   * after too many sends the run is stopped instead. One that this planner has not sent was sent by
   * an earlier one, as far as known.
   *
   * @param listed tasks that the lists show
   * @param requestedMs time at which the lists were requested, in milliseconds of the monotonic
   *     clock
   */
  static void resendMissingStarts(
      Plan plan, Server server, Set<TaskKey> listed, long requestedMs, Now now) {
    List<Task> missing =
        server.tasks.stream()
            .filter(t -> t.phase == TaskPhase.ORDERED && !listed.contains(t.key))
            .filter(t -> t.startGivenUpMs > 0 && t.startGivenUpMs < requestedMs)
            .toList();
    for (Task task : missing) {
      task.startGivenUpMs = 0;
      if (task.startsSent == 0) {
        plan.unaccountedStarts.addEarlier(server.entry.id(), task.key, task.run, now);
      }
      if (task.startsSent < MAX_SENDS) {
        resendOnceConfirmed(plan, task);
      } else {
        stopOnceStored(plan, task);
      }
    }
  }

  /**
   * Sends a start again once the store has confirmed the fencing token by another append. A later
   * incarnation of the backend server has seen no fencing token, so it would obey a planner that
   * was replaced.
   */
  private static void resendOnceConfirmed(Plan plan, Task task) {
    plan.ledger.changed(task.job);
    sendOnceStored(plan, task, now -> resendNotAllowed(plan, task, now));
  }

  /**
   * Handles a repeated start that is not allowed: leaves it to the next lists if the incarnation is
   * in doubt again, or its entry is about to be read; else stops the run.
   */
  private static void resendNotAllowed(Plan plan, Task task, Now now) {
    Server server = task.server;
    if (server != null && (server.isIncarnationInDoubt() || server.isEntryExpected())) {
      task.startGivenUpMs = now.steadyMs();
    } else {
      stopOnceStored(plan, task);
    }
  }
}
