package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.ActiveRun;
import dev.toucanstall.core.job.FinishedRun;
import dev.toucanstall.core.job.JobPhase;
import dev.toucanstall.core.job.Queue;
import dev.toucanstall.core.job.TaskKey;
import dev.toucanstall.core.job.TaskPhase;
import dev.toucanstall.core.lease.ServerClock;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Decides on the results of lease renewals: on the runs that a backend server lists as present and
 * on its finished runs.
 */
final class LeaseRenewalRules {

  /** Length from which a list of finished runs may be truncated. */
  private static final int TRUNCATION_LENGTH = 500;

  /** Number of failures after which a task of an unknown queue fails its job. */
  private static final int DEFAULT_MAX_FAILURES = 3;

  private LeaseRenewalRules() {}

  /**
   * Handles the result of a lease renewal. Ignores it if the planner knows another incarnation of
   * the backend server by now, or has applied lists that were requested later.
   */
  static void renewalEnded(Plan plan, PlanEvent.Held held, Now now) {
    Server server = plan.servers.get(held.server());
    if (server == null || server.entry.startTimeMs() != held.serverStartTimeMs()) {
      return;
    }
    if (held.result() instanceof LeaseRenewalResult.Listed listed
        && listed.serverStartTimeMs() == held.serverStartTimeMs()) {
      server.acknowledgedCompletion =
          Math.max(server.acknowledgedCompletion, held.acknowledgedCompletion());
    }
    if (held.sentMs() < server.listRequestedMs) {
      return;
    }
    if (held.sentMs() >= server.renewalSentMs) {
      server.renewalPending = false;
    }
    server.markForRenewal();
    switch (held.result()) {
      case LeaseRenewalResult.Listed listed
          when listed.serverStartTimeMs() != held.serverStartTimeMs()
              && listed.serverStartTimeMs() > 0 ->
          ServerRules.restartedBeforeEntry(plan, server, listed.serverStartTimeMs(), now);
      case LeaseRenewalResult.Listed listed -> applyLists(plan, server, held, listed, now);
      case LeaseRenewalResult.Failed failed -> renewalFailed(plan, server, held, failed, now);
    }
  }

  private static void renewalFailed(
      Plan plan, Server server, PlanEvent.Held held, LeaseRenewalResult.Failed failed, Now now) {
    switch (failed.outcome()) {
      case OrderResult.OtherLife otherLife ->
          ServerRules.incarnationEnded(
              plan,
              server,
              new RunEvidence(RunEvidence.Kind.OTHER_SERVER_ANSWERS, held.sentMs()),
              now);
      case OrderResult.ConnectionRefused refused ->
          ServerRules.markUnresponsive(plan, server, "lease renewal: connection refused", now);
      case OrderResult.Rejected rejected when rejected.reason() == OrderResult.Reason.FENCED ->
          plan.emit(new PlanEffect.Resign("a backend server has seen a higher fencing token"));
      case OrderResult.Rejected rejected ->
          ServerRules.markUnresponsive(
              plan, server, "lease renewal refused: " + rejected.reason(), now);
      case OrderResult.Unanswered unanswered ->
          ServerRules.markUnresponsive(plan, server, "lease renewal not answered", now);
      case OrderResult.Obeyed obeyed -> server.clock.read(obeyed.serverClockMs(), now.steadyMs());
    }
  }

  /**
   * Applies the lists of a backend server. Those of an incarnation that may have ended since they
   * were requested are ignored.
   */
  private static void applyLists(
      Plan plan, Server server, PlanEvent.Held held, LeaseRenewalResult.Listed listed, Now now) {
    if (server.leases.isRestartSuspectedSince(held.sentMs())) {
      return;
    }
    if (server.unresponsiveSinceMs > 0) {
      ServerRules.logServerEvent(plan, "server-answers", server, "after it was unresponsive");
    }
    if (!server.answered || server.unresponsiveSinceMs > 0) {
      plan.markForPlacement(server);
    }
    if (!server.answered) {
      firstAnswer(plan, server, listed, now);
    }
    server.answered = true;
    server.incarnationShown(held.sentMs());
    server.listRequestedMs = held.sentMs();
    server.leases.contact(held.sentMs());
    server.unresponsiveSinceMs = 0;
    server.clock.read(listed.serverClockMs(), now.steadyMs());
    Set<TaskKey> listedTasks = new HashSet<>();
    for (FinishedRun finished : listed.finished()) {
      listedTasks.add(finished.task());
      if (finished.number() > server.appliedCompletion) {
        server.appliedCompletion = finished.number();
        applyFinishedRun(plan, server, finished, held.sentMs(), now);
      }
    }
    for (ActiveRun active : listed.running()) {
      listedTasks.add(active.task());
      applyActiveRun(plan, server, active, now);
    }
    sendDueStops(plan, server, now);
    if (listed.complete() && listed.finished().size() < TRUNCATION_LENGTH) {
      releaseAbsent(plan, server, listedTasks, held.sentMs(), now);
    }
    OrderRules.resendMissingStarts(plan, server, listedTasks, held.sentMs(), now);
    acknowledgeOnceStored(plan, server);
  }

  /**
   * Handles the first lists that an incarnation answers. Its entry may have told its start time by
   * a wall clock only, which may have been set.
   */
  private static void firstAnswer(
      Plan plan, Server server, LeaseRenewalResult.Listed listed, Now now) {
    long uptimeMs = ServerClock.shortestDurationMs(listed.serverClockMs());
    if (plan.succession.mayHaveLeftLeases(now.steadyMs() - uptimeMs, now.steadyMs())) {
      server.leases.formerIncarnationKnown();
    }
    server.leases.tokenSeen(now.steadyMs());
    plan.formerClocks.update(server, now);
  }

  /** Has the applied completions acknowledged to the backend server once they are stored. */
  private static void acknowledgeOnceStored(Plan plan, Server server) {
    long completion = server.appliedCompletion;
    long startTimeMs = server.entry.startTimeMs();
    if (completion > server.storedCompletion) {
      plan.ledger.runOnceStored((now, out) -> server.completionsStored(startTimeMs, completion));
    }
  }

  /** Returns a task, or empty if its job is unknown or has no such task. */
  private static Optional<Task> find(Plan plan, TaskKey key) {
    Job job = plan.jobs.get(key.job());
    return job == null ? Optional.empty() : job.find(key);
  }

  /** Applies a run that is present. Stops a run that the planner does not know. */
  private static void applyActiveRun(Plan plan, Server server, ActiveRun active, Now now) {
    Optional<Task> found = find(plan, active.task());
    if (found.isEmpty() || found.get().server != server || found.get().run != active.run()) {
      plan.logEvent("run-unknown", "server", server.entry.id(), "task", active.task().toString());
      OrderRules.stopUnknown(plan, server, active.task(), active.run(), now);
      return;
    }
    Task task = found.get();
    if (task.step.lasting()
        && !hasServed(task)
        && active.percentDone() >= Evacuation.SERVING_PERCENT) {
      FailureRules.runSucceeded(plan, server, task, now);
    }
    task.percentDone = active.percentDone();
    if (!active.checkpoint().isEmpty()) {
      task.setCheckpoint(active.checkpoint());
    }
    OrderResultRules.storeIfLasting(plan, task);
    task.runListed();
    task.startUnanswered = false;
    if (task.phase == TaskPhase.ORDERED) {
      task.setPhase(TaskPhase.RUNNING);
      task.absenceConclusiveAfterMs = now.steadyMs();
    }
  }

  /**
   * Sends the stops that have not reached a backend server, also of runs that its lists lack: a
   * start that is on its way may still reach it.
   */
  private static void sendDueStops(Plan plan, Server server, Now now) {
    server.tasks.stream()
        .filter(t -> t.phase == TaskPhase.STOPPING && !t.stopAwaitsStore)
        .filter(t -> !t.stopSent || t.stopUndelivered)
        .toList()
        .forEach(t -> OrderRules.sendStop(plan, t, now));
  }

  /**
   * Releases the tasks whose runs are missing from the lists although their last order was answered
   * before the lists were requested. Within the same millisecond the order of the two is unknown,
   * so such a task is not released.
   */
  private static void releaseAbsent(
      Plan plan, Server server, Set<TaskKey> listedTasks, long sentMs, Now now) {
    List<Task> absent =
        server.tasks.stream()
            .filter(t -> !listedTasks.contains(t.key))
            .filter(t -> t.absenceConclusiveAfterMs > 0 && t.absenceConclusiveAfterMs < sentMs)
            .filter(t -> !t.awaitsLateCopy(server, now.steadyMs()))
            .toList();
    for (Task task : absent) {
      plan.logEvent("run-absent", "server", server.entry.id(), "task", task.key.toString());
      plan.releaseEnded(task, new RunEvidence(RunEvidence.Kind.ABSENT_FROM_LIST, sentMs), now);
      JobRules.closeIfEnded(plan, task.job);
    }
  }

  /** Applies a finished run. */
  private static void applyFinishedRun(
      Plan plan, Server server, FinishedRun finished, long sentMs, Now now) {
    Optional<Task> found = find(plan, finished.task());
    if (found.isEmpty()) {
      return;
    }
    Task task = found.get();
    if (finishedBeforeNextStart(task, finished)) {
      markDone(plan, task, now);
      return;
    }
    if (task.run != finished.run()) {
      return;
    }
    if (task.server != server) {
      if (finished.how() == FinishedRun.Outcome.DONE && task.phase == TaskPhase.WAITING) {
        markDone(plan, task, now);
      }
      return;
    }
    if (!finished.saved().isEmpty()) {
      task.setCheckpoint(finished.saved());
    }
    switch (finished.how()) {
      case DONE -> {
        FailureRules.runSucceeded(plan, server, task, now);
        plan.durations.learn(task.job.queue, task.step, now.steadyMs() - task.orderedMs);
        plan.markForPlacement(server);
        markDone(plan, task, now);
      }
      case FAILED -> runFailed(plan, server, task, sentMs, now);
      default -> plan.releaseEnded(task, endListed(sentMs), now);
    }
    JobRules.closeIfEnded(plan, task.job);
  }

  /**
   * Returns whether an earlier run completed a task whose next start has not been sent, so that the
   * start is not needed.
   */
  private static boolean finishedBeforeNextStart(Task task, FinishedRun finished) {
    boolean startUnsent =
        task.phase == TaskPhase.WAITING
            || (task.phase == TaskPhase.ORDERED && task.startsSent == 0 && !task.startUnanswered);
    boolean independent = !task.step.lasting() && !task.step.gang();
    return independent
        && startUnsent
        && finished.how() == FinishedRun.Outcome.DONE
        && finished.run() < task.run;
  }

  /**
   * Marks a task as done, or all tasks of its step if they form a gang. A lasting task waits for
   * its next run instead, unless its job has ended.
   */
  private static void markDone(Plan plan, Task task, Now now) {
    List<Task> tasks = task.step.gang() ? task.siblings.all() : List.of(task);
    TaskPhase next =
        task.job.phase.ended()
            ? TaskPhase.DROPPED
            : task.step.lasting() ? TaskPhase.WAITING : TaskPhase.DONE;
    tasks.forEach(
        t -> {
          t.unbind();
          t.setPhase(next);
        });
    plan.ledger.changed(task.job);
    JobRules.completeIfDone(plan, task.job, now);
  }

  /**
   * Handles a failed run: releases the task, and fails its job if the task is not lasting and has
   * failed too often.
   */
  private static void runFailed(Plan plan, Server server, Task task, long sentMs, Now now) {
    task.failures++;
    task.avoid(server);
    if (!hasServed(task)) {
      FailureRules.runFailed(plan, server, task, now);
    }
    plan.releaseEnded(task, endListed(sentMs), now);
    Queue queue = plan.queue(task.job);
    int maxFailures = queue == null ? DEFAULT_MAX_FAILURES : queue.maxFailures();
    boolean failsJob = !task.step.lasting() && task.failures >= maxFailures;
    plan.logEvent(
        "run-failed",
        "task",
        task.key.toString(),
        "server",
        server.entry.id(),
        "failures",
        Integer.toString(task.failures));
    if (failsJob && !task.job.phase.ended()) {
      JobRules.end(plan, task.job, JobPhase.FAILED, now);
    }
  }

  /**
   * Returns whether the run of a lasting task has served. It never ends as done, so serving is what
   * shows that its backend server is sound.
   */
  private static boolean hasServed(Task task) {
    return task.step.lasting() && task.percentDone >= Evacuation.SERVING_PERCENT;
  }

  private static RunEvidence endListed(long sentMs) {
    return new RunEvidence(RunEvidence.Kind.END_LISTED, sentMs);
  }
}
