package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.ActiveRun;
import dev.toucanstall.core.job.FinishedRun;
import dev.toucanstall.core.job.JobPhase;
import dev.toucanstall.core.job.Queue;
import dev.toucanstall.core.job.TaskKey;
import dev.toucanstall.core.job.TaskPhase;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Decides on what backend servers list: runs that are present and runs that have ended. */
final class HoldRules {

  /** Pause before a backend server that does not answer is asked again, in milliseconds. */
  private static final long SILENT_PAUSE_MS = 400;

  /** Pause after a refused connection, in milliseconds. */
  private static final long REFUSED_PAUSE_MS = 100;

  /** A list of ends of this length may be cut. */
  private static final int FULL_LIST = 500;

  /** How often a task may fail if its queue is unknown. */
  private static final int DEFAULT_ATTEMPTS = 3;

  /** Failures in a row after which a backend server gets no tasks for a while. */
  private static final int SUSPICIOUS_FAILURES = 2;

  private static final long SUSPEND_MS = 2_000;
  private static final long LONGEST_SUSPEND_MS = 16_000;

  private HoldRules() {}

  static void held(Plan plan, PlanEvent.Held held, Now now) {
    Server server = plan.servers.get(held.server());
    if (server == null || server.entry.startTimeMs() != held.serverStartTimeMs()) {
      return;
    }
    server.holding = false;
    server.look();
    switch (held.result()) {
      case LeaseRenewalResult.Listed listed
          when listed.serverStartTimeMs() > held.serverStartTimeMs() ->
          ServerRules.reborn(
              plan, server, server.entry.withIncarnation(listed.serverStartTimeMs()), now);
      case LeaseRenewalResult.Listed listed -> listed(plan, server, held, listed, now);
      case LeaseRenewalResult.Failed failed -> failed(plan, server, failed.outcome(), now);
    }
  }

  private static void failed(Plan plan, Server server, OrderResult why, Now now) {
    switch (why) {
      case OrderResult.OtherLife otherLife ->
          ServerRules.died(plan, server, "another life answers");
      case OrderResult.ConnectionRefused refused -> {
        server.holdAfterMs = now.steadyMs() + REFUSED_PAUSE_MS;
        ServerRules.connectionRefused(plan, server, now);
      }
      case OrderResult.Rejected rejected when rejected.reason() == OrderResult.Reason.FENCED ->
          plan.emit(new PlanEffect.Resign("a backend server has seen a higher fencing token"));
      case OrderResult.Rejected rejected ->
          notRenewed(plan, server, "refuses a lease renewal: " + rejected.reason(), now);
      case OrderResult.Unanswered unanswered ->
          notRenewed(plan, server, "no answer to a lease renewal", now);
      case OrderResult.Obeyed obeyed -> server.readClock(obeyed.serverClockMs(), now.steadyMs());
    }
  }

  /** A backend server whose leases are not renewed gets no tasks, and loses those that it has. */
  private static void notRenewed(Plan plan, Server server, String why, Now now) {
    if (server.silentSinceMs == 0) {
      server.silentSinceMs = now.steadyMs();
      ServerRules.noteServer(plan, "server-silent", server, why);
    }
    server.holdAfterMs = now.steadyMs() + SILENT_PAUSE_MS;
  }

  private static void listed(
      Plan plan, Server server, PlanEvent.Held held, LeaseRenewalResult.Listed listed, Now now) {
    if (server.silentSinceMs > 0) {
      ServerRules.noteServer(plan, "server-answers", server, "after silence");
    }
    if (!server.answered || server.silentSinceMs > 0) {
      plan.wake(server);
    }
    if (!server.answered) {
      server.capLeases(PlanReducer.LEASE_MS, now.steadyMs());
    }
    server.answered = true;
    server.listedMs = held.sentMs();
    server.silentSinceMs = 0;
    server.refusingSinceMs = 0;
    server.readClock(listed.serverClockMs(), now.steadyMs());
    server.acknowledgedEnds = Math.max(server.acknowledgedEnds, held.acknowledgedCompletion());
    Set<TaskKey> seen = new HashSet<>();
    for (FinishedRun end : listed.finished()) {
      seen.add(end.task());
      if (end.number() > server.appliedEnds) {
        server.appliedEnds = end.number();
        end(plan, server, end, now);
      }
    }
    for (ActiveRun running : listed.running()) {
      seen.add(running.task());
      running(plan, server, running, now);
    }
    if (listed.finished().size() < FULL_LIST) {
      releaseAbsent(plan, server, seen, held.sentMs());
    }
    storeEnds(plan, server);
  }

  private static void storeEnds(Plan plan, Server server) {
    long upTo = server.appliedEnds;
    long life = server.entry.startTimeMs();
    if (upTo > server.storedEnds) {
      plan.ledger.afterStore((now, out) -> server.endsStored(life, upTo));
    }
  }

  private static Optional<Task> find(Plan plan, TaskKey key) {
    Job job = plan.jobs.get(key.job());
    return job == null ? Optional.empty() : job.find(key);
  }

  private static void running(Plan plan, Server server, ActiveRun running, Now now) {
    Optional<Task> found = find(plan, running.task());
    if (found.isEmpty() || found.get().server != server || found.get().run != running.run()) {
      plan.logEvent("run-unknown", "server", server.entry.id(), "task", running.task().toString());
      plan.emit(new PlanEffect.Stop(server.entry, plan.epoch, running.task(), running.run()));
      return;
    }
    Task task = found.get();
    task.percent = running.percentDone();
    if (!running.checkpoint().isEmpty()) {
      task.saved = running.checkpoint();
    }
    if (task.phase == TaskPhase.ORDERED) {
      task.turn(TaskPhase.RUNNING);
      task.unanswered = false;
      task.settledMs = now.steadyMs();
    }
    if (task.phase == TaskPhase.STOPPING && !task.stopSent && !task.stopWaits) {
      OrderRules.sendStop(plan, task);
    }
  }

  /**
   * Frees runs whose last order was answered before the lists were asked for, and that are not
   * there. Within one millisecond it is unknown which came first.
   */
  private static void releaseAbsent(Plan plan, Server server, Set<TaskKey> seen, long sentMs) {
    List<Task> absent =
        server.tasks.stream()
            .filter(t -> !seen.contains(t.key))
            .filter(t -> t.settledMs > 0 && t.settledMs < sentMs)
            .toList();
    for (Task task : absent) {
      plan.logEvent("run-absent", "server", server.entry.id(), "task", task.key.toString());
      plan.release(task);
      JobRules.settleIfEnded(plan, task.job);
    }
  }

  private static void end(Plan plan, Server server, FinishedRun end, Now now) {
    Optional<Task> found = find(plan, end.task());
    if (found.isEmpty()) {
      return;
    }
    Task task = found.get();
    if (endsBeforeNextStart(task, end)) {
      done(plan, task, now);
      return;
    }
    if (task.run != end.run()) {
      return;
    }
    if (task.server != server) {
      if (end.how() == FinishedRun.Outcome.DONE && task.phase == TaskPhase.WAITING) {
        done(plan, task, now);
      }
      return;
    }
    if (!end.saved().isEmpty()) {
      task.saved = end.saved();
    }
    switch (end.how()) {
      case DONE -> {
        server.failures = 0;
        plan.durations.learn(task.job.queue, task.step, now.steadyMs() - task.orderedMs);
        plan.wake(server);
        done(plan, task, now);
      }
      case FAILED -> runFailed(plan, server, task, now);
      default -> plan.release(task);
    }
    JobRules.settleIfEnded(plan, task.job);
  }

  /** Tells whether an earlier run did a task whose next start has not been sent. */
  private static boolean endsBeforeNextStart(Task task, FinishedRun end) {
    boolean unsent =
        task.phase == TaskPhase.WAITING
            || (task.phase == TaskPhase.ORDERED && task.sends == 0 && !task.unanswered);
    boolean single = !task.step.lasting() && !task.step.gang();
    return single && unsent && end.how() == FinishedRun.Outcome.DONE && end.run() < task.run;
  }

  private static void done(Plan plan, Task task, Now now) {
    List<Task> together =
        task.step.gang()
            ? new ArrayList<>(task.job.occurrences.get(task.key.occurrence()).get(task.key.step()))
            : List.of(task);
    together.forEach(
        t -> {
          t.unbind();
          t.turn(task.job.phase.ended() ? TaskPhase.DROPPED : TaskPhase.DONE);
        });
    if (task.step.lasting() && !task.job.phase.ended()) {
      task.turn(TaskPhase.WAITING);
    }
    plan.ledger.changed(task.job);
    JobRules.settle(plan, task.job, now);
  }

  private static void runFailed(Plan plan, Server server, Task task, Now now) {
    task.failures++;
    task.avoid.add(server.entry.id());
    suspect(plan, server, now);
    plan.release(task);
    Queue queue = plan.queue(task.job);
    int attempts = queue == null ? DEFAULT_ATTEMPTS : queue.maxFailures();
    boolean hopeless = !task.step.lasting() && task.failures >= attempts;
    plan.logEvent(
        "run-failed",
        "task",
        task.key.toString(),
        "server",
        server.entry.id(),
        "failures",
        Integer.toString(task.failures));
    if (hopeless && !task.job.phase.ended()) {
      JobRules.end(plan, task.job, JobPhase.FAILED, now);
    }
  }

  /** A backend server that fails several runs in a row gets none for a while. */
  private static void suspect(Plan plan, Server server, Now now) {
    server.failures++;
    if (server.failures >= SUSPICIOUS_FAILURES) {
      long length =
          Math.min(
              LONGEST_SUSPEND_MS, SUSPEND_MS << Math.min(8, server.failures - SUSPICIOUS_FAILURES));
      server.suspendedUntilMs = now.steadyMs() + length;
      ServerRules.noteServer(plan, "server-suspended", server, "ms " + length);
    }
  }
}
