package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.TaskKey;
import dev.toucanstall.core.job.TaskPhase;
import java.util.Optional;

/** Decides on the results of starts and stops of runs. */
final class OrderResultRules {

  /** Suspension of a backend server that lacked the free capacity for a start, in milliseconds. */
  private static final long NO_CAPACITY_PAUSE_MS = 150;

  /** Longest time from the sending of an order to the handling of its answer, in milliseconds. */
  private static final long MAX_ANSWER_AGE_MS = 2_500;

  /** Suspension of a backend server that takes no orders, in milliseconds. */
  private static final long UNHEALTHY_PAUSE_MS = 1_000;

  private OrderResultRules() {}

  /** Returns the task of a run that is bound to a backend server, or empty. */
  private static Optional<Task> findBound(Plan plan, Server server, TaskKey key, long run) {
    Job job = plan.jobs.get(key.job());
    return job == null
        ? Optional.empty()
        : job.find(key).filter(task -> task.server == server && task.run == run);
  }

  /**
   * Handles the result of a start. Orders that have waited for it are sent after that, as it may
   * show that the backend server takes no more.
   */
  static void started(Plan plan, PlanEvent.Started started, Now now) {
    plan.orders.ended(new OrderWindow.SentOrder(started.task(), started.run(), false));
    applyStarted(plan, started, now);
    plan.orders.advance(now);
  }

  private static void applyStarted(Plan plan, PlanEvent.Started started, Now now) {
    Server server = plan.servers.get(started.server());
    if (server == null) {
      return;
    }
    boolean sameIncarnation = server.entry.startTimeMs() == started.serverStartTimeMs();
    Optional<Task> task = findBound(plan, server, started.task(), started.run());
    switch (started.result()) {
      case OrderResult.Obeyed obeyed -> {
        if (sameIncarnation) {
          readClock(plan, server, task, obeyed, now);
        }
        task.ifPresent(t -> startConfirmed(plan, t, now));
      }
      case OrderResult.Rejected rejected when isFenced(rejected) && !sameIncarnation ->
          task.ifPresent(t -> notStarted(plan, t, now));
      case OrderResult.Rejected rejected -> startRejected(plan, server, task, rejected, now);
      case OrderResult.OtherLife otherLife -> {
        task.ifPresent(t -> notStarted(plan, t, now));
        otherIncarnationAnswers(plan, server, sameIncarnation, now);
      }
      case OrderResult.ConnectionRefused refused -> {
        task.ifPresent(t -> notStarted(plan, t, now));
        if (sameIncarnation) {
          ServerRules.markUnresponsive(plan, server, "start: connection refused", now);
        }
      }
      case OrderResult.Unanswered unanswered ->
          task.ifPresent(t -> startUnanswered(plan, t, started, now));
    }
  }

  /**
   * Reads the clock from the answer to a start, which shows whether a later incarnation gave it.
   */
  private static void readClock(
      Plan plan, Server server, Optional<Task> task, OrderResult.Obeyed obeyed, Now now) {
    long sentMs =
        task.filter(t -> t.startsSent == 1)
            .map(t -> t.orderedMs)
            .orElse(now.steadyMs() - MAX_ANSWER_AGE_MS);
    if (server.clock.showsRestart(obeyed.serverClockMs(), sentMs)) {
      ServerRules.suspectRestart(plan, server, now);
    } else {
      server.clock.read(obeyed.serverClockMs(), now.steadyMs());
    }
  }

  /**
   * Handles an answer of another backend server at the address to which an order was sent. It shows
   * that the incarnation has ended for which the order was meant, and says nothing of a later one
   * under the same id.
   */
  private static void otherIncarnationAnswers(
      Plan plan, Server server, boolean sameIncarnation, Now now) {
    if (sameIncarnation) {
      ServerRules.incarnationEnded(
          plan,
          server,
          new RunEvidence(RunEvidence.Kind.OTHER_SERVER_ANSWERS, now.steadyMs()),
          now);
    }
  }

  /**
   * Returns whether a backend server has seen a higher fencing token than that of an order. It is
   * this planner's own if the order was meant for a former incarnation.
   */
  private static boolean isFenced(OrderResult.Rejected rejected) {
    return rejected.reason() == OrderResult.Reason.FENCED;
  }

  /**
   * Returns whether a backend server has not even taken note of an order, so that a stop does not
   * keep the run from being started later.
   */
  private static boolean isWithoutEffect(OrderResult.Rejected rejected) {
    return rejected.reason() == OrderResult.Reason.UNHEALTHY
        || rejected.reason() == OrderResult.Reason.MALFORMED;
  }

  private static void startConfirmed(Plan plan, Task task, Now now) {
    storeIfLasting(plan, task);
    task.startUnanswered = false;
    task.absenceConclusiveAfterMs =
        task.phase == TaskPhase.STOPPING ? task.absenceConclusiveAfterMs : now.steadyMs();
    if (task.phase == TaskPhase.ORDERED) {
      task.setPhase(TaskPhase.RUNNING);
      task.orderedMs = now.steadyMs();
      task.job.markRunning();
    }
  }

  /**
   * Stores that a lasting task's ordered run is known to have started: the next planner waits
   * longer for one of which it doesn't know.
   */
  static void storeIfLasting(Plan plan, Task task) {
    if (task.step.lasting() && task.phase == TaskPhase.ORDERED) {
      plan.ledger.changed(task.job);
    }
  }

  private static void startRejected(
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
      case ROOM -> server.suspendedUntilMs = now.steadyMs() + NO_CAPACITY_PAUSE_MS;
      case UNHEALTHY -> server.suspendedUntilMs = now.steadyMs() + UNHEALTHY_PAUSE_MS;
      default -> {}
    }
    task.ifPresent(t -> notStarted(plan, t, now));
  }

  /**
   * Handles a start that had no effect. An earlier send of the same start that was not answered may
   * still take effect, so the run is stopped then.
   */
  private static void notStarted(Plan plan, Task task, Now now) {
    if (task.phase != TaskPhase.ORDERED) {
      return;
    }
    if (task.startUnanswered) {
      OrderRules.stopOnceStored(plan, task);
    } else {
      plan.releaseEnded(task, new RunEvidence(RunEvidence.Kind.NOT_STARTED, task.orderedMs), now);
    }
  }

  /**
   * Handles a start without an answer. It may have succeeded, and the backend server may have
   * started again meanwhile, so the lists are read before it is sent again. A run that a list has
   * shown meanwhile needs neither.
   */
  private static void startUnanswered(Plan plan, Task task, PlanEvent.Started started, Now now) {
    if (task.phase == TaskPhase.RUNNING) {
      return;
    }
    task.startUnanswered = true;
    task.startGivenUpMs = now.steadyMs();
    Server server = task.server;
    if (server != null) {
      plan.unaccountedStarts.add(
          task, started.server(), started.serverStartTimeMs(), task.orderedMs);
      server.doubtIncarnation(now.steadyMs());
    }
  }

  /**
   * Handles the result of a stop. Orders that have waited for it are sent after that, as it may
   * show that the backend server takes no more.
   */
  static void stopped(Plan plan, PlanEvent.Stopped stopped, Now now) {
    plan.orders.ended(new OrderWindow.SentOrder(stopped.task(), stopped.run(), true));
    applyStopped(plan, stopped, now);
    plan.orders.advance(now);
  }

  private static void applyStopped(Plan plan, PlanEvent.Stopped stopped, Now now) {
    Server server = plan.servers.get(stopped.server());
    if (server == null) {
      return;
    }
    boolean sameIncarnation = server.entry.startTimeMs() == stopped.serverStartTimeMs();
    Optional<Task> task =
        findBound(plan, server, stopped.task(), stopped.run())
            .filter(t -> t.phase == TaskPhase.STOPPING);
    switch (stopped.result()) {
      case OrderResult.Obeyed obeyed -> task.ifPresent(t -> t.runAbsentAfter(now.steadyMs()));
      case OrderResult.Rejected rejected when isFenced(rejected) && !sameIncarnation ->
          task.ifPresent(t -> t.stopUndelivered = true);
      case OrderResult.Rejected rejected when isFenced(rejected) ->
          plan.emit(new PlanEffect.Resign("a backend server has seen a higher fencing token"));
      case OrderResult.Rejected rejected when isWithoutEffect(rejected) ->
          task.ifPresent(t -> t.stopUndelivered = true);
      case OrderResult.Rejected rejected -> task.ifPresent(t -> t.runAbsentAfter(now.steadyMs()));
      case OrderResult.OtherLife otherLife -> {
        task.ifPresent(t -> t.stopUndelivered = true);
        otherIncarnationAnswers(plan, server, sameIncarnation, now);
      }
      case OrderResult.ConnectionRefused refused -> {
        task.ifPresent(t -> t.stopUndelivered = true);
        if (sameIncarnation) {
          ServerRules.markUnresponsive(plan, server, "stop: connection refused", now);
        }
      }
      case OrderResult.Unanswered unanswered ->
          task.ifPresent(t -> OrderRules.sendStop(plan, t, now));
    }
  }
}
