package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.JobRecord;
import dev.toucanstall.core.job.JobRecord.TaskProgress;
import dev.toucanstall.core.job.JobSpec;
import dev.toucanstall.core.job.Resources;
import dev.toucanstall.core.job.ServerEntry;
import dev.toucanstall.core.job.TaskKey;
import dev.toucanstall.core.job.TaskPhase;
import dev.toucanstall.core.lease.LeaseBound;
import dev.toucanstall.core.model.Address;
import java.util.List;
import java.util.Set;

/** Builds a planner's state from the records of its predecessors. */
final class Recovery {

  /** Address of a backend server whose address was not recorded or is malformed. */
  private static final Address UNKNOWN_ADDRESS = new Address("0.0.0.0", 1);

  private Recovery() {}

  /**
   * Applies the records to a new state.
   *
   * @param plan the state
   * @param records the newest record of each key, submissions before progress and parts of it last
   * @param now start of the term
   */
  static void restore(Plan plan, List<JobRecord> records, Now now) {
    records.stream()
        .filter(JobRecord.FormerClockLeases.class::isInstance)
        .map(JobRecord.FormerClockLeases.class::cast)
        .forEach(r -> plan.formerClocks.restore(r, plan.succession.formerClockLeasesEndMs()));
    for (JobRecord record : records) {
      switch (record) {
        case JobRecord.Submitted submitted -> JobRules.add(plan, new Job(plan, submitted));
        case JobRecord.Closed closed -> restore(plan, closed);
        case JobRecord.Progress progress -> restore(plan, progress, now);
        case JobRecord.ProgressPart part -> restore(plan, part, now);
        case JobRecord.WaveProgress progress ->
            plan.machines.maintenanceBegun(progress.wave()).addAll(progress.begun());
        case JobRecord.FormerClockLeases leases -> {
          // Restored before the tasks whose leases it concerns.
        }
        case JobRecord.UnaccountedStarts starts -> plan.unaccountedStarts.restore(starts, now);
        case JobRecord.OpenMoves open -> open.moves().forEach(m -> plan.moves.restore(m, now));
        case JobRecord.OpenMaintenance open -> MaintenanceOrderRules.restore(plan, open, now);
        case JobRecord.Forgotten forgotten -> plan.remove(forgotten.job());
      }
    }
    List.copyOf(plan.jobs.values()).forEach(job -> settle(plan, job, now));
  }

  /** Restores a closed job, which is remembered for queries only. */
  private static void restore(Plan plan, JobRecord.Closed closed) {
    Job job =
        new Job(
            plan,
            new JobRecord.Submitted(
                closed.job(), closed.queue(), "", "", closed.endedMs(), JobSpec.EMPTY));
    job.phase = closed.phase();
    job.endedMs = closed.endedMs();
    plan.addEnded(job);
  }

  /** Restores the progress of a job. */
  private static void restore(Plan plan, JobRecord.Progress progress, Now now) {
    Job job = plan.jobs.get(progress.job());
    if (job == null) {
      plan.logEvent("progress-without-job", "job", progress.job());
      return;
    }
    job.phase = progress.phase();
    job.endedMs = progress.endedMs();
    restore(plan, job, progress.tasks(), now);
  }

  /**
   * Restores a part of the progress of a large job. Deletes it if the job has ended: the planner
   * that stored the end had no time to.
   */
  private static void restore(Plan plan, JobRecord.ProgressPart part, Now now) {
    Job job = plan.jobs.get(part.job());
    if (job == null || !job.isOpen) {
      plan.ledger.addRecord(new JobRecord.ProgressPart(part.job(), part.part(), List.of()));
      return;
    }
    job.parts.stored(part.part());
    if (!part.tasks().isEmpty()) {
      job.markRunning();
    }
    restore(plan, job, part.tasks(), now);
  }

  private static void restore(Plan plan, Job job, List<TaskProgress> tasks, Now now) {
    for (TaskProgress recorded : tasks) {
      TaskKey key = new TaskKey(job.id, recorded.occurrence(), recorded.step(), recorded.index());
      job.restorable(key).ifPresent(task -> restore(plan, task, recorded, now));
    }
  }

  /** Restores the progress of a task. Its start may be unanswered as far as this planner knows. */
  private static void restore(Plan plan, Task task, TaskProgress recorded, Now now) {
    task.unbind();
    task.run = recorded.run();
    task.failures = recorded.failures();
    if (!recorded.saved().isEmpty()) {
      task.setCheckpoint(recorded.saved());
    }
    task.startFrom(recorded.saved());
    task.setPhase(restoredPhase(task, recorded.phase()));
    if (!task.phase.bound()) {
      return;
    }
    restoreStart(task, now);
    Server server =
        plan.servers.computeIfAbsent(
            recorded.server(), id -> unlistedServer(id, recorded, task, now));
    task.bind(server);
    if (task.step.lasting() && task.phase == TaskPhase.ORDERED) {
      plan.unaccountedStarts.addEarlier(recorded.server(), task.key, task.run, now);
    }
  }

  /**
   * Restores what is known of the start of a bound task.
   *
   * <p>The start of a run that was only ordered may not have been sent, or be on its way and reach
   * a later incarnation that has seen no fencing token. So its absence from a list is not
   * conclusive; the same start is sent again instead, under this planner's token.
   */
  private static void restoreStart(Task task, Now now) {
    task.startUnanswered = task.phase != TaskPhase.RUNNING;
    task.orderedMs = now.steadyMs();
    if (task.startUnanswered) {
      task.startArrivesUntilMs = now.steadyMs() + LeaseBound.MAX_TRANSIT_MS;
    }
    if (task.phase == TaskPhase.ORDERED) {
      task.startGivenUpMs = now.steadyMs() - 1;
      task.absenceConclusiveAfterMs = 0;
    } else {
      task.runAbsentAfter(now.steadyMs());
    }
  }

  /**
   * Closes a restored job that has ended, and ends one whose tasks are all done: the parts of its
   * progress may have been stored without its end.
   */
  private static void settle(Plan plan, Job job, Now now) {
    if (job.isOpen && (job.phase.ended() || job.allDone())) {
      JobRules.completeIfDone(plan, job, now);
    }
  }

  /**
   * Returns the phase in which a task is restored.
   *
   * <p>The stop of a lasting task is decided anew, because other tasks of its step may be
   * unavailable by now. The lists of its backend server show whether the stop was carried out.
   */
  private static TaskPhase restoredPhase(Task task, TaskPhase stored) {
    boolean keepsRunning = task.step.lasting() && !task.job.phase.ended();
    return keepsRunning && stored == TaskPhase.STOPPING ? TaskPhase.RUNNING : stored;
  }

  /**
   * Returns the recorded address of a task's backend server. An earlier version may have recorded a
   * malformed one.
   */
  private static Address address(TaskProgress recorded) {
    return Address.tryParse(recorded.address()).orElse(UNKNOWN_ADDRESS);
  }

  /** Creates a backend server that is known only from a task's record until it lists itself. */
  private static Server unlistedServer(String id, TaskProgress recorded, Task task, Now now) {
    ServerEntry entry =
        new ServerEntry(
            id,
            recorded.bornMs(),
            task.job.service,
            address(recorded),
            "",
            false,
            Resources.NONE,
            Set.of(),
            0);
    Server server = new Server(entry, restoredLeases(task.job.plan, id), now.steadyMs());
    server.unlisted = true;
    server.unresponsiveSinceMs = now.steadyMs();
    task.job.plan.formerClocks.update(server, now);
    return server;
  }

  /** Returns the bound of the leases that earlier planners have given to a backend server. */
  private static LeaseBound restoredLeases(Plan plan, String id) {
    return plan.formerClocks.isRestored(id)
        ? LeaseBound.ofPredecessorsOnFormerClock(plan.succession.formerClockLeasesEndMs())
        : LeaseBound.ofPredecessors(
            plan.succession.leasesEndMs(), plan.succession.formerClockLeasesEndMs());
  }
}
