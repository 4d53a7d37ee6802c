package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.JobRecord;
import dev.toucanstall.core.job.JobRecord.TaskProgress;
import dev.toucanstall.core.job.JobSpec;
import dev.toucanstall.core.job.Resources;
import dev.toucanstall.core.job.ServerEntry;
import dev.toucanstall.core.job.TaskKey;
import dev.toucanstall.core.job.TaskPhase;
import dev.toucanstall.core.model.Address;
import java.util.List;
import java.util.Set;

/** Builds a planner's state from the records of its predecessors. */
final class Recovery {

  /**
   * How long a predecessor that is cut off from the store may go on renewing leases, and the
   * longest lease, in milliseconds on a backend server's clock.
   */
  static final long PREDECESSOR_MS = PlanReducer.HOLD_PERMISSION_MS + PlanReducer.LEASE_MS;

  private static final Address NOWHERE = new Address("0.0.0.0", 1);

  private Recovery() {}

  static void restore(Plan plan, List<JobRecord> records, Now now) {
    for (JobRecord record : records) {
      switch (record) {
        case JobRecord.Submitted submitted -> JobRules.add(plan, new Job(plan, submitted));
        case JobRecord.Closed closed -> restore(plan, closed);
        case JobRecord.Progress progress -> restore(plan, progress, now);
        case JobRecord.WaveProgress progress ->
            plan.machines.begun(progress.wave()).addAll(progress.begun());
        case JobRecord.OpenMoves open -> open.moves().forEach(m -> plan.moves.restore(m, now));
        case JobRecord.Forgotten forgotten -> plan.jobs.remove(forgotten.job());
      }
    }
  }

  private static void restore(Plan plan, JobRecord.Closed closed) {
    JobSpec nothing = new JobSpec("", List.of(), 1, 0, 0);
    Job job =
        new Job(
            plan,
            new JobRecord.Submitted(
                closed.job(), closed.queue(), "", "", closed.endedMs(), nothing));
    job.phase = closed.phase();
    job.endedMs = closed.endedMs();
    plan.jobs.put(job.id, job);
  }

  private static void restore(Plan plan, JobRecord.Progress progress, Now now) {
    Job job = plan.jobs.get(progress.job());
    if (job == null) {
      plan.logEvent("progress-without-job", "job", progress.job());
      return;
    }
    job.phase = progress.phase();
    job.endedMs = progress.endedMs();
    for (TaskProgress line : progress.tasks()) {
      TaskKey key = new TaskKey(job.id, line.occurrence(), line.step(), line.index());
      job.find(key).ifPresent(task -> restore(plan, task, line, now));
    }
    if (job.phase.ended() && job.bound == 0) {
      plan.close(job);
    }
  }

  private static void restore(Plan plan, Task task, TaskProgress line, Now now) {
    task.run = line.run();
    task.failures = line.failures();
    task.saved = line.saved();
    task.turn(restored(task, line.phase()));
    if (!task.phase.bound()) {
      return;
    }
    task.unanswered = true;
    task.settledMs = now.steadyMs();
    task.orderedMs = now.steadyMs();
    task.bind(plan.servers.computeIfAbsent(line.server(), id -> unseen(id, line, task, now)));
  }

  /**
   * Whether a lasting task may be stopped is decided anew: others of its step may be away by now.
   * Its backend server's lists show whether the stop was carried out.
   */
  private static TaskPhase restored(Task task, TaskPhase stored) {
    boolean lasts = task.step.lasting() && !task.job.phase.ended();
    return lasts && stored == TaskPhase.STOPPING ? TaskPhase.RUNNING : stored;
  }

  private static Address address(TaskProgress line) {
    return line.address().isEmpty() ? NOWHERE : Address.parse(line.address());
  }

  /** A backend server that is known only from a record until it lists itself. */
  private static Server unseen(String id, TaskProgress line, Task task, Now now) {
    ServerEntry entry =
        new ServerEntry(
            id,
            line.bornMs(),
            task.job.service,
            address(line),
            "",
            false,
            Resources.NONE,
            Set.of(),
            0);
    Server server = new Server(entry, now.steadyMs());
    server.unlisted = true;
    server.silentSinceMs = now.steadyMs();
    server.leasesExpiredMs = now.steadyMs() + (long) (PREDECESSOR_MS / Server.SLOWEST_CLOCK);
    return server;
  }
}
