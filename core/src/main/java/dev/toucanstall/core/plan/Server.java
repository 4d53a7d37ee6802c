package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.Resources;
import dev.toucanstall.core.job.ServerEntry;
import dev.toucanstall.core.job.TaskPhase;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** One incarnation of a backend server, as the planner knows it. Owned by the control thread. */
final class Server {

  /** Slowest rate of a backend server's clock relative to the planner's clock. */
  static final double MIN_CLOCK_RATE = 0.98;

  /** Number of fencing tokens for one epoch, one for each incarnation under an id. */
  private static final long TOKENS_PER_EPOCH = 1_024;

  /** Fastest rate of a backend server's clock relative to the planner's clock. */
  private static final double MAX_CLOCK_RATE = 1.02;

  /** Tolerance for readings of a backend server's clock, in milliseconds. */
  private static final long CLOCK_TOLERANCE_MS = 50;

  /** Longest time that a slow clock loses between two readings of it, in milliseconds. */
  private static final long CLOCK_DRIFT_MS = 200;

  /** Newest entry of the backend server; changed by {@link #updateEntry} only. */
  ServerEntry entry;

  /** Index that holds the backend server, null once it has been removed. */
  @Nullable Servers containingIndex;

  /** Number in the order in which this planner learned of its backend servers. */
  long sequence;

  /** Number of other incarnations under this id that this planner learned of before this one. */
  int formerIncarnations;

  /** Whether the backend server has answered a renewal with this planner's fencing token. */
  boolean answered;

  /** Whether the backend server's entry was removed from the list. */
  boolean unlisted;

  /** Whether a lease renewal is under way. */
  boolean renewalPending;

  /** Time at which the last lease renewal was sent, in milliseconds of the monotonic clock. */
  long renewalSentMs;

  /** Earliest time of the next lease renewal, in milliseconds of the monotonic clock. */
  long nextRenewalMs;

  /**
   * Time at which the newest lists of runs were requested, in milliseconds of the monotonic clock.
   */
  long listRequestedMs;

  /**
   * Time since which renewals have failed, in milliseconds of the monotonic clock, 0 while the
   * backend server is responsive.
   */
  long unresponsiveSinceMs;

  /** Last reading of the backend server's monotonic clock, in milliseconds. */
  long serverClockMs;

  /**
   * Time of the last reading of the backend server's clock, in milliseconds of the planner's
   * monotonic clock.
   */
  long clockReadMs;

  /**
   * Time at which all leases ever given have surely expired on the backend server's clock, in
   * milliseconds of the planner's monotonic clock.
   */
  long leasesExpiredMs;

  /**
   * Time since which a reading of the clock shows a later incarnation that no entry or list has
   * shown yet, in milliseconds of the monotonic clock, 0 if none does.
   */
  long restartSuspectedSinceMs;

  /** Number of the newest finished run that is stored. */
  long storedCompletion;

  /**
   * Time since which a due acknowledgement is withheld, in milliseconds of the monotonic clock, 0
   * if none is.
   */
  long acknowledgementWithheldSinceMs;

  /** Number of the newest finished run that was acknowledged to the backend server. */
  long acknowledgedCompletion;

  /** Number of the newest finished run that has been applied. */
  long appliedCompletion;

  /**
   * Time until which the backend server gets no new tasks, in milliseconds of the monotonic clock.
   */
  long suspendedUntilMs;

  /**
   * Whether the backend server is being emptied by the planner; changed by {@link #setEvacuating}
   * only.
   */
  boolean evacuating;

  /** Start of the last evacuation, in milliseconds of the monotonic clock, 0 if there was none. */
  long evacuatingSinceMs;

  /** Whether the machine has been ordered to another pool. */
  boolean moving;

  /**
   * Time at which the backend server was last seen with tasks, in milliseconds of the monotonic
   * clock.
   */
  long lastUsedMs;

  int consecutiveFailures;

  /** Resources that the bound tasks reserve. */
  Resources used = Resources.NONE;

  /** Capacity that no bound task reserves. */
  private Resources freeCapacity;

  /** Number of bound filling tasks, which use only processors that others leave idle. */
  int fillingTasks;

  /** Number of bound lasting tasks that are not filling. */
  int servingTasks;

  /** Orders that wait until fewer are under way, oldest first. */
  final Deque<OrderWindow.WaitingOrder> waitingOrders = new ArrayDeque<>();

  /** Number of starts and stops that were sent and have no result yet. */
  int ordersUnderWay;

  /** Number of starts that are requested and not sent. */
  int unsentStarts;

  /** Bound tasks in the order of their binding. */
  final Set<Task> tasks = new LinkedHashSet<>();

  Server(ServerEntry entry, long nowMs) {
    this.entry = entry;
    this.freeCapacity = entry.capacity();
    this.serverClockMs = entry.serverClockMs();
    this.clockReadMs = nowMs;
    this.lastUsedMs = nowMs;
  }

  /**
   * Returns the fencing token of orders to this incarnation. It is higher than that of orders to
   * former incarnations under the same id: those name the same id, and would otherwise be obeyed if
   * they arrive late.
   *
   * @param epoch epoch of the planner's term
   */
  long fencingToken(long epoch) {
    return epoch * TOKENS_PER_EPOCH + Math.min(formerIncarnations, TOKENS_PER_EPOCH - 1);
  }

  /**
   * Takes over a later incarnation under the same id. Its finished runs are numbered anew, and
   * earlier runs have ended unless its lists show otherwise.
   *
   * <p>Stops that a former incarnation has answered are sent again: starts that were on their way
   * then may reach this one.
   *
   * <p>Until it has seen the fencing token for this incarnation, orders to a former one may reach
   * it. Their lease ends on the former clock, so it may last as long as a backend server grants.
   */
  void beginIncarnation(ServerEntry newEntry, long nowMs) {
    updateEntry(newEntry);
    answered = false;
    restartSuspectedSinceMs = 0;
    renewalPending = false;
    nextRenewalMs = 0;
    storedCompletion = 0;
    acknowledgedCompletion = 0;
    appliedCompletion = 0;
    readClock(newEntry.serverClockMs(), nowMs);
    leasesExpiredMs =
        Math.max(leasesExpiredMs, nowMs + PlanReducer.longestDurationMs(PlanReducer.MAX_LEASE_MS));
    tasks.stream()
        .filter(t -> t.phase != TaskPhase.ORDERED)
        .forEach(t -> t.absenceConclusiveAfterMs = t.stopSent ? t.absenceConclusiveAfterMs : nowMs);
    tasks.stream().filter(t -> t.stopSent).forEach(t -> t.stopUndelivered = true);
  }

  /** Returns whether finished runs have been applied that are not stored yet. */
  boolean hasUnstoredCompletions() {
    return appliedCompletion > storedCompletion;
  }

  /**
   * Marks the finished runs of an incarnation as stored up to a number. Ignored for any other
   * incarnation, because each numbers its finished runs anew.
   */
  void completionsStored(long startTimeMs, long upTo) {
    if (entry.startTimeMs() == startTimeMs) {
      storedCompletion = Math.max(storedCompletion, upTo);
      markForRenewal();
    }
  }

  void updateEntry(ServerEntry newEntry) {
    boolean reindexes =
        !newEntry.service().equals(entry.service())
            || !newEntry.capacity().equals(entry.capacity());
    Servers index = containingIndex;
    if (reindexes && index != null) {
      index.removeFromIndexes(this);
    }
    entry = newEntry;
    freeCapacity = newEntry.capacity().minus(used);
    if (reindexes && index != null) {
      index.addToIndexes(this);
    }
    updateLeaving();
    markForRenewal();
  }

  void setEvacuating(boolean active) {
    evacuating = active;
    updateLeaving();
  }

  /** Updates the index of backend servers whose tasks must leave. */
  private void updateLeaving() {
    Servers index = containingIndex;
    if (index != null) {
      index.setLeaving(this, evacuating || entry.draining());
    }
  }

  /** Marks the backend server for the next check of lease renewals. */
  void markForRenewal() {
    Servers index = containingIndex;
    if (index != null) {
      index.markForRenewal(this);
    }
  }

  void bind(Task task) {
    if (tasks.add(task)) {
      setUsed(used.plus(task.step.reserved()));
      count(task, 1);
      markForRenewal();
    }
  }

  void unbind(Task task) {
    if (tasks.remove(task)) {
      setUsed(used.minus(task.step.reserved()));
      count(task, -1);
    }
  }

  private void count(Task task, int change) {
    if (task.step.fills()) {
      fillingTasks += change;
    } else if (task.step.lasting()) {
      servingTasks += change;
    }
  }

  /** Sets the reserved resources and updates the index by free capacity. */
  private void setUsed(Resources next) {
    Servers index = containingIndex;
    Runnable change =
        () -> {
          used = next;
          freeCapacity = entry.capacity().minus(next);
        };
    if (index == null) {
      change.run();
    } else {
      index.changeFreeCapacity(this, change);
    }
  }

  void updateLastUsed(long nowMs) {
    if (!tasks.isEmpty()) {
      lastUsedMs = nowMs;
    }
  }

  Resources freeCapacity() {
    return freeCapacity;
  }

  void readClock(long reading, long nowMs) {
    serverClockMs = reading;
    clockReadMs = nowMs;
  }

  /**
   * Returns whether a reading of the clock is lower than any of this incarnation can be, so that a
   * later one has answered, whose clock begins anew.
   *
   * @param reading the reading, in milliseconds of the backend server's clock
   * @param sentMs time at which the answered call was sent or earlier, in milliseconds of the
   *     monotonic clock
   */
  boolean showsRestart(long reading, long sentMs) {
    long sinceReadMs = sentMs - clockReadMs;
    double rate = sinceReadMs >= 0 ? MIN_CLOCK_RATE : MAX_CLOCK_RATE;
    return reading < serverClockMs + (long) (sinceReadMs * rate) - CLOCK_TOLERANCE_MS;
  }

  /**
   * Returns the time at which all leases have surely expired, in milliseconds of the planner's
   * clock. A later incarnation that is only suspected may have the longest lease.
   */
  long leaseBoundMs() {
    return restartSuspectedSinceMs == 0
        ? leasesExpiredMs
        : Math.max(
            leasesExpiredMs,
            restartSuspectedSinceMs + PlanReducer.longestDurationMs(PlanReducer.MAX_LEASE_MS));
  }

  /**
   * Returns whether a start to this backend server may have been carried out by a later incarnation
   * as far as the planner knows: it was sent some time ago, but after the newest list was
   * requested, and no answer shows by whom it was carried out.
   *
   * @param sentBeforeMs time before which the start was sent, in milliseconds of the monotonic
   *     clock
   */
  boolean hasUnconfirmedStart(long sentBeforeMs) {
    return tasks.stream()
        .filter(t -> t.startsSent > 0)
        .filter(t -> t.phase == TaskPhase.ORDERED || t.startUnanswered)
        .anyMatch(t -> t.orderedMs >= listRequestedMs && t.orderedMs < sentBeforeMs);
  }

  /**
   * Gives a lease: returns its expiry on the backend server's clock, and extends the time at which
   * all leases have surely expired. The expiry counts from the earliest time that the clock may
   * show now, so that a slow clock lengthens the lease by no more than its rate, however long ago
   * it was read.
   *
   * @param lengthMs length of the lease, in milliseconds
   * @param nowMs time of the event, in milliseconds of the monotonic clock
   * @return the expiry in milliseconds of the backend server's clock
   */
  long extendLease(long lengthMs, long nowMs) {
    long slowestClockMs = serverClockMs + (long) ((nowMs - clockReadMs) * MIN_CLOCK_RATE);
    leasesExpiredMs = Math.max(leasesExpiredMs, nowMs + PlanReducer.longestDurationMs(lengthMs));
    return slowestClockMs + lengthMs;
  }

  /**
   * Limits the time at which all leases have expired. The backend server has seen the fencing token
   * of this planner for this incarnation, so no lease is longer than one that a predecessor gave
   * just now. A later incarnation may have been given one on the clock of a former one.
   *
   * @param nowMs time of the event, in milliseconds of the monotonic clock
   */
  void capLeases(long nowMs) {
    long lengthMs = formerIncarnations == 0 ? PlanReducer.LEASE_MS : PlanReducer.MAX_LEASE_MS;
    long longest = PlanReducer.longestDurationMs(lengthMs + CLOCK_DRIFT_MS);
    leasesExpiredMs = Math.min(leasesExpiredMs, nowMs + longest);
  }

  boolean takesTasks(long nowMs) {
    return answered
        && !unlisted
        && !entry.draining()
        && !evacuating
        && !moving
        && unresponsiveSinceMs == 0
        && nowMs >= suspendedUntilMs;
  }
}
