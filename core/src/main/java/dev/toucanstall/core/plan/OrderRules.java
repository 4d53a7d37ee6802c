package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.TaskKey;
import dev.toucanstall.core.job.TaskPhase;
import java.util.Optional;
import java.util.function.Predicate;

/** Decides on the answers to starts and stops. */
final class OrderRules {

  /** How often a start without an answer is sent before it is stopped instead. */
  private static final int MAX_SENDS = 3;

  /** Pause of starts after a backend server had no room, in milliseconds. */
  private static final long ROOM_PAUSE_MS = 150;

  /** Pause of starts after a backend server took no orders, in milliseconds. */
  private static final long UNHEALTHY_PAUSE_MS = 1_000;

  private OrderRules() {}

  /** Sends a start once the intent is stored, if it is still wanted then. */
  static void startOnceStored(Plan plan, Task task) {
    sendOnceStored(plan, task, () -> plan.release(task));
  }

  /** Sends a start once all changes so far are stored, or does something else if it may not. */
  private static void sendOnceStored(Plan plan, Task task, Runnable otherwise) {
    long run = task.run;
    Server server = task.server;
    plan.ledger.afterStore(
        (now, out) -> {
          if (server == null || !task.ordered(run, server)) {
            return;
          }
          if (server.takesTasks(now.steadyMs()) && plan.mayOrder(now)) {
            sendStart(plan, server, task, now);
          } else {
            otherwise.run();
          }
        });
  }

  private static void sendStart(Plan plan, Server server, Task task, Now now) {
    task.sends++;
    task.orderedMs = now.steadyMs();
    plan.emit(
        new PlanEffect.Start(
            server.entry,
            plan.epoch,
            task.key,
            task.run,
            task.job.spec.text(),
            task.saved,
            server.lease(PlanReducer.START_MS, now.steadyMs())));
  }

  /** Stops a run once the cause is stored. */
  static void stopOnceStored(Plan plan, Task task) {
    stopOnceStored(plan, task, now -> true);
  }

  /** Stops a run once that is stored, if it may still be stopped then or its job has ended. */
  static void stopOnceStored(Plan plan, Task task, Predicate<Now> mayStill) {
    if (task.phase == TaskPhase.ORDERED && task.sends == 0 && !task.unanswered) {
      plan.release(task);
      return;
    }
    task.turn(TaskPhase.STOPPING);
    task.stopWaits = true;
    task.settledMs = 0;
    plan.ledger.changed(task.job);
    long run = task.run;
    plan.ledger.afterStore(
        (now, out) -> {
          if (task.phase != TaskPhase.STOPPING || task.run != run) {
            return;
          }
          task.stopWaits = false;
          if (task.stopSent || task.job.phase.ended() || mayStill.test(now)) {
            sendStop(plan, task);
          } else {
            goesOn(plan, task, now);
          }
        });
  }

  /** A run that was to be stopped goes on, as its stop was not sent. */
  private static void goesOn(Plan plan, Task task, Now now) {
    task.turn(TaskPhase.RUNNING);
    task.settledMs = now.steadyMs();
    plan.ledger.changed(task.job);
  }

  static void sendStop(Plan plan, Task task) {
    Server server = task.server;
    if (server != null) {
      task.stopSent = true;
      plan.emit(new PlanEffect.Stop(server.entry, plan.epoch, task.key, task.run));
    }
  }

  private static Optional<Task> bound(Server server, TaskKey key, long run) {
    return server.tasks.stream().filter(t -> t.key.equals(key) && t.run == run).findFirst();
  }

  static void started(Plan plan, PlanEvent.Started started, Now now) {
    Server server = plan.servers.get(started.server());
    if (server == null) {
      return;
    }
    boolean sameLife = server.entry.startTimeMs() == started.serverStartTimeMs();
    Optional<Task> task = bound(server, started.task(), started.run());
    switch (started.result()) {
      case OrderResult.Obeyed obeyed -> {
        server.refusingSinceMs = 0;
        if (sameLife) {
          server.readClock(obeyed.serverClockMs(), now.steadyMs());
        }
        task.ifPresent(t -> confirmed(t, now));
      }
      case OrderResult.Rejected rejected -> rejected(plan, server, task, rejected, now);
      case OrderResult.OtherLife otherLife ->
          ServerRules.died(plan, server, "another life answers");
      case OrderResult.ConnectionRefused refused -> {
        task.ifPresent(t -> notStarted(plan, t));
        if (sameLife) {
          ServerRules.connectionRefused(plan, server, now);
        }
      }
      case OrderResult.Unanswered unanswered -> task.ifPresent(t -> unanswered(plan, t, now));
    }
  }

  private static void confirmed(Task task, Now now) {
    task.unanswered = false;
    task.settledMs = task.phase == TaskPhase.STOPPING ? task.settledMs : now.steadyMs();
    if (task.phase == TaskPhase.ORDERED) {
      task.turn(TaskPhase.RUNNING);
      task.orderedMs = now.steadyMs();
      task.job.begun();
    }
  }

  private static void rejected(
      Plan plan, Server server, Optional<Task> task, OrderResult.Rejected rejected, Now now) {
    plan.logEvent(
        "start-rejected",
        "server",
        server.entry.id(),
        "task",
        task.map(t -> t.key.toString()).orElse(""),
        "reason",
        rejected.reason().name());
    switch (rejected.reason()) {
      case FENCED -> {
        plan.emit(new PlanEffect.Resign("a backend server has seen a higher fencing token"));
        return;
      }
      case ROOM -> server.suspendedUntilMs = now.steadyMs() + ROOM_PAUSE_MS;
      case UNHEALTHY -> server.suspendedUntilMs = now.steadyMs() + UNHEALTHY_PAUSE_MS;
      default -> {}
    }
    task.ifPresent(t -> notStarted(plan, t));
  }

  /** A start had no effect; earlier sends of the same start may yet have one. */
  private static void notStarted(Plan plan, Task task) {
    if (task.phase != TaskPhase.ORDERED) {
      return;
    }
    if (task.unanswered) {
      stopOnceStored(plan, task);
    } else {
      plan.release(task);
    }
  }

  /**
   * A lasting task may be at work already, so its start goes on being sent while others are away,
   * until a list that was asked for after the last start lacks it.
   */
  private static void unanswered(Plan plan, Task task, Now now) {
    task.unanswered = true;
    if (task.phase != TaskPhase.ORDERED) {
      return;
    }
    Server server = task.server;
    boolean absent = server != null && server.listedMs > task.orderedMs;
    boolean kept = task.step.lasting() && !absent && !Evacuation.mayStop(task, now);
    if (task.sends < MAX_SENDS || kept) {
      repeatOnceConfirmed(plan, task);
    } else {
      stopOnceStored(plan, task);
    }
  }

  /**
   * Sends a start again once the store has confirmed the fencing token by one more append: a later
   * life of the backend server has seen no fencing token and would obey a planner that was
   * replaced.
   */
  private static void repeatOnceConfirmed(Plan plan, Task task) {
    plan.ledger.changed(task.job);
    sendOnceStored(plan, task, () -> stopOnceStored(plan, task));
  }

  static void stopped(Plan plan, PlanEvent.Stopped stopped, Now now) {
    Server server = plan.servers.get(stopped.server());
    if (server == null) {
      return;
    }
    Optional<Task> task =
        bound(server, stopped.task(), stopped.run()).filter(t -> t.phase == TaskPhase.STOPPING);
    switch (stopped.result()) {
      case OrderResult.Obeyed obeyed -> task.ifPresent(t -> t.settledMs = now.steadyMs());
      case OrderResult.Rejected rejected when rejected.reason() == OrderResult.Reason.FENCED ->
          plan.emit(new PlanEffect.Resign("a backend server has seen a higher fencing token"));
      case OrderResult.Rejected rejected -> task.ifPresent(t -> t.settledMs = now.steadyMs());
      case OrderResult.OtherLife otherLife ->
          ServerRules.died(plan, server, "another life answers");
      case OrderResult.ConnectionRefused refused -> {
        ServerRules.connectionRefused(plan, server, now);
        task.filter(t -> t.server == server).ifPresent(t -> sendStop(plan, t));
      }
      case OrderResult.Unanswered unanswered -> task.ifPresent(t -> sendStop(plan, t));
    }
  }
}
