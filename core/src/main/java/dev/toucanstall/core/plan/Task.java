package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.JobRecord.TaskProgress;
import dev.toucanstall.core.job.StepSpec;
import dev.toucanstall.core.job.TaskKey;
import dev.toucanstall.core.job.TaskPhase;
import java.util.HashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** A task of a job and its newest run. Owned by the control thread. */
final class Task {

  final Job job;

  final TaskKey key;

  final StepSpec step;

  /** Tasks of the same step of the same occurrence, with this one. */
  final StepTasks siblings;

  /** Number of the part of the job's progress that holds the task's. */
  final int part;

  /** Phase of the task; changed by {@link #setPhase} only. */
  TaskPhase phase = TaskPhase.WAITING;

  /** Number of the newest run, 0 if none was ordered. */
  long run;

  int failures;

  /** Newest checkpoint of a task that is no member of a gang, empty if none. */
  private String ownCheckpoint = "";

  /** Checkpoint that each start of the newest run carries, empty if none. */
  private String startCheckpoint = "";

  /** Backend server that the newest run is bound to, null if none. */
  @Nullable Server server;

  /** Whether a start of this run was sent and not answered, so that it may still be carried out. */
  boolean startUnanswered;

  /** Whether a stop of this run was sent in this term. */
  boolean stopSent;

  /**
   * Whether the last stop of this run did not reach its backend server, so that it is due again.
   */
  boolean stopUndelivered;

  /** Whether a stop of this run waits for its cause to be stored. */
  boolean stopAwaitsStore;

  /** Number of times that the start of this run was sent in this term. */
  int startsSent;

  /**
   * Time at which the last start that was sent had no answer, in milliseconds of the monotonic
   * clock, 0 while it may yet have one.
   */
  long startGivenUpMs;

  /**
   * Time after which a requested list of runs must show this run if it still exists, in
   * milliseconds of the monotonic clock: the time at which the last order for it was answered. 0
   * while the absence of the run from a list proves nothing.
   */
  long absenceConclusiveAfterMs;

  /**
   * Time at which the last run was still listed as far as known, in milliseconds of the monotonic
   * clock; 0 if there was none or its end was not listed to this planner.
   */
  long lastEndListedMs;

  /**
   * Time until which a start that an earlier planner has sent may arrive, in milliseconds of the
   * monotonic clock, 0 if there is none.
   */
  long startArrivesUntilMs;

  /** Time at which the start was last sent or confirmed, in milliseconds of the monotonic clock. */
  long orderedMs;

  /**
   * Last reported progress of the run, as a percentage of its work; 100 for a lasting task that
   * serves.
   */
  int percentDone;

  /** Rate of work that was last ordered, in percent. */
  int pacePercent = 100;

  /** Ids of the backend servers on which the task has failed. */
  private Set<String> avoidedServers = Set.of();

  Task(StepTasks siblings, int part, TaskKey key) {
    this.job = siblings.job;
    this.part = part;
    this.key = key;
    this.step = siblings.spec;
    this.siblings = siblings;
  }

  /** Takes note that the task has failed on a backend server. */
  void avoid(Server failed) {
    if (avoidedServers.isEmpty()) {
      avoidedServers = new HashSet<>();
    }
    avoidedServers.add(failed.entry.id());
  }

  /** Returns whether the task has failed on more than one backend server. */
  boolean hasFailedOnSeveral() {
    return avoidedServers.size() > 1;
  }

  /** Returns whether the task has failed on a backend server. */
  boolean avoids(Server candidate) {
    return avoidedServers.contains(candidate.entry.id());
  }

  /**
   * Takes note that a list which is requested after a time shows the run if it still exists, but
   * for a start of an earlier planner that may yet arrive.
   *
   * @param timeMs the time, in milliseconds of the monotonic clock
   */
  void runAbsentAfter(long timeMs) {
    absenceConclusiveAfterMs = Math.max(timeMs, startArrivesUntilMs);
  }

  /**
   * Returns whether the newest run was started as far as known, but no answer or list has shown by
   * which incarnation.
   */
  boolean isStartUnconfirmed() {
    return startUnanswered || (phase == TaskPhase.ORDERED && startsSent > 0);
  }

  /** Sets the phase and updates the counters of the step and of the job. */
  void setPhase(TaskPhase next) {
    TaskPhase previous = phase;
    if (previous != next) {
      phase = next;
      job.parts.changed(part);
      siblings.phaseChanged(this, previous, next);
      job.taskPhaseChanged(this, previous, next);
    }
  }

  /**
   * Returns the newest checkpoint, empty if there is none. That of any member of a gang is valid
   * for all of them.
   */
  String checkpoint() {
    return step.gang() ? siblings.gangCheckpoint : ownCheckpoint;
  }

  /** Sets the newest checkpoint, which is stored with the job's next change. */
  void setCheckpoint(String next) {
    if (next.equals(checkpoint())) {
      return;
    }
    if (step.gang()) {
      siblings.gangCheckpoint = next;
    } else {
      ownCheckpoint = next;
    }
    job.parts.changed(part);
  }

  /**
   * Returns the checkpoint that each start of the newest run carries, empty if there is none. It
   * stays while the run is started, also if a newer one is listed meanwhile.
   */
  String startCheckpoint() {
    return startCheckpoint;
  }

  /** Sets the checkpoint that each start of the newest run carries, empty for none. */
  void startFrom(String saved) {
    startCheckpoint = saved;
  }

  /** Binds the task to a backend server and adds its resources to the account's quota. */
  void bind(Server newServer) {
    server = newServer;
    newServer.bind(this);
    siblings.counts.bind(newServer);
    job.plan.quotas.add(job.account, step.need());
    job.boundTasks++;
  }

  /**
   * Unbinds the task from its backend server and resets the state of its run. Does nothing if it is
   * not bound.
   */
  void unbind() {
    Server from = server;
    if (from == null) {
      return;
    }
    from.unbind(this);
    siblings.counts.unbind(from);
    job.plan.quotas.remove(job.account, step.need());
    job.boundTasks--;
    server = null;
    startUnanswered = false;
    startsSent = 0;
    startArrivesUntilMs = 0;
    startGivenUpMs = 0;
    stopSent = false;
    stopUndelivered = false;
    stopAwaitsStore = false;
    percentDone = 0;
    pacePercent = 100;
  }

  /**
   * Returns whether a run is still to be started on a backend server.
   *
   * @param number number of the run
   * @param on the backend server
   */
  boolean awaitsStart(long number, Server on) {
    return phase == TaskPhase.ORDERED && run == number && server == on;
  }

  /** Returns whether a run was ever ordered or the task has left its first phase. */
  boolean hasBegun() {
    return run > 0 || phase != TaskPhase.WAITING;
  }

  /**
   * Takes note that a list shows the run. Its start is accounted for if it was sent only once, as
   * far as known.
   *
   * @return whether it wasn't accounted for before
   */
  boolean runListed() {
    Server on = server;
    boolean onlyCopy = startsSent == 1 && startArrivesUntilMs == 0;
    return on != null && onlyCopy && job.plan.unaccountedStarts.arrived(this, on);
  }

  /**
   * Returns whether a start may arrive at the task's backend server that no answer or list accounts
   * for, also one of an earlier run.
   *
   * @param timeMs a time in milliseconds of the monotonic clock
   * @return true if one may arrive after that time
   */
  boolean mayStartLate(long timeMs) {
    Server on = server;
    return isStartUnconfirmed()
        || (on != null && job.plan.unaccountedStarts.mayArrive(on.entry.id(), key, timeMs));
  }

  /**
   * Returns whether a copy of the start may yet be carried out by an incarnation after the one
   * whose lists lack the run: a stop is known only to the incarnation that has answered it. A
   * lasting task can't wait for that.
   */
  boolean awaitsLateCopy(Server listed, long nowMs) {
    return !step.lasting()
        && !job.phase.ended()
        && job.plan.unaccountedStarts.mayFollow(this, listed, nowMs);
  }

  /** Returns whether a run of the task may have been at work: an earlier one, or the newest. */
  boolean mayHaveServed() {
    return run > 1 || !isStartUnconfirmed();
  }

  /**
   * Returns the phase to store. A lasting task that is being stopped and whose start had no answer
   * is stored as ordered, because its stop is decided anew by the next planner.
   */
  private TaskPhase storedPhase() {
    boolean stopIsDecidedAnew =
        phase == TaskPhase.STOPPING && step.lasting() && !job.phase.ended() && startUnanswered;
    return stopIsDecidedAnew ? TaskPhase.ORDERED : phase;
  }

  /** Returns the task's part of the record of its job's progress. */
  TaskProgress progressRecord() {
    Server on = server;
    return new TaskProgress(
        key.occurrence(),
        key.step(),
        key.index(),
        storedPhase(),
        run,
        on == null ? "" : on.entry.id(),
        on == null ? "" : on.entry.address().toString(),
        on == null ? 0 : on.entry.startTimeMs(),
        failures,
        phase == TaskPhase.ORDERED ? startCheckpoint : checkpoint());
  }
}
