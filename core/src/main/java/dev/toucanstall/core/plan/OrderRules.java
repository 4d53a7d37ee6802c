package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.TaskKey;
import dev.toucanstall.core.job.TaskPhase;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;

/** Decides when starts and stops of runs are sent, and on their results. */
final class OrderRules {

  /** Number of unanswered sends of a start after which the run is stopped instead. */
  private static final int MAX_SENDS = 3;

  /** Suspension of a backend server that lacked the free capacity for a start, in milliseconds. */
  private static final long NO_CAPACITY_PAUSE_MS = 150;

  /** Longest time from the sending of an order to the handling of its answer, in milliseconds. */
  private static final long MAX_ANSWER_AGE_MS = 2_500;

  /** Suspension of a backend server that takes no orders, in milliseconds. */
  private static final long UNHEALTHY_PAUSE_MS = 1_000;

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
   * waits further while as many orders are under way as may be.
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
            plan.orders.submit(
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
    if (server.takesTasks(now.steadyMs()) && plan.mayIssueOrders(now)) {
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
            task.checkpoint,
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
        task.ifPresent(t -> startConfirmed(t, now));
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
      case OrderResult.Unanswered unanswered -> task.ifPresent(t -> startUnanswered(t, now));
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

  private static void startConfirmed(Task task, Now now) {
    task.startUnanswered = false;
    task.absenceConclusiveAfterMs =
        task.phase == TaskPhase.STOPPING ? task.absenceConclusiveAfterMs : now.steadyMs();
    if (task.phase == TaskPhase.ORDERED) {
      task.setPhase(TaskPhase.RUNNING);
      task.orderedMs = now.steadyMs();
      task.job.markRunning();
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
      stopOnceStored(plan, task);
    } else {
      plan.releaseEnded(task, new RunEvidence(RunEvidence.Kind.NOT_STARTED, task.orderedMs), now);
    }
  }

  /**
   * Handles a start without an answer. It may have succeeded, and the backend server may have
   * started again meanwhile, so the lists are read before it is sent again. A run that a list has
   * shown meanwhile needs neither.
   */
  private static void startUnanswered(Task task, Now now) {
    if (task.phase == TaskPhase.RUNNING) {
      return;
    }
    task.startUnanswered = true;
    task.startGivenUpMs = now.steadyMs();
    Server server = task.server;
    if (server != null) {
      server.doubtIncarnation(now.steadyMs());
    }
  }

  /**
   * Sends the starts again that had no answer and whose runs the lists of a backend server lack;
   * after too many sends the run is stopped instead.
   *
   * @param listed tasks that the lists show
   * @param requestedMs time at which the lists were requested, in milliseconds of the monotonic
   *     clock
   */
  static void resendMissingStarts(Plan plan, Server server, Set<TaskKey> listed, long requestedMs) {
    List<Task> missing =
        server.tasks.stream()
            .filter(t -> t.phase == TaskPhase.ORDERED && !listed.contains(t.key))
            .filter(t -> t.startGivenUpMs > 0 && t.startGivenUpMs < requestedMs)
            .toList();
    for (Task task : missing) {
      task.startGivenUpMs = 0;
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
   * in doubt again, else stops the run.
   */
  private static void resendNotAllowed(Plan plan, Task task, Now now) {
    Server server = task.server;
    if (server != null && server.isIncarnationInDoubt()) {
      task.startGivenUpMs = now.steadyMs();
    } else {
      stopOnceStored(plan, task);
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
      case OrderResult.Obeyed obeyed ->
          task.ifPresent(t -> t.absenceConclusiveAfterMs = now.steadyMs());
      case OrderResult.Rejected rejected when isFenced(rejected) && !sameIncarnation ->
          task.ifPresent(t -> t.stopUndelivered = true);
      case OrderResult.Rejected rejected when isFenced(rejected) ->
          plan.emit(new PlanEffect.Resign("a backend server has seen a higher fencing token"));
      case OrderResult.Rejected rejected when isWithoutEffect(rejected) ->
          task.ifPresent(t -> t.stopUndelivered = true);
      case OrderResult.Rejected rejected ->
          task.ifPresent(t -> t.absenceConclusiveAfterMs = now.steadyMs());
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
      case OrderResult.Unanswered unanswered -> task.ifPresent(t -> sendStop(plan, t, now));
    }
  }
}
