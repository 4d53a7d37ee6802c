package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.JobRecord;
import dev.toucanstall.core.job.RecordSize;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Writes changed jobs to the store in batches, one append at a time, and delays the actions that
 * rely on a change until it is stored. Owned by the control thread.
 */
final class Ledger {

  /** Pause before an append that failed is sent again, in milliseconds. */
  private static final long RETRY_PAUSE_MS = 100;

  /**
   * Time without success after which an append means that the store has an outage, in milliseconds.
   */
  private static final long OUTAGE_MS = 700;

  /**
   * Time without success after which an append that has failed repeatedly counts as failing, in
   * milliseconds.
   */
  private static final long FAILING_MS = 300;

  /** Number of failed attempts from which an append counts as failing; one may be a lost answer. */
  private static final int MIN_FAILED_ATTEMPTS = 2;

  /** Time after which an idle planner has the store confirm its fencing token, in milliseconds. */
  private static final long CONFIRM_INTERVAL_MS = 700;

  /** Shortest time between two appends, in milliseconds, so that several changes share one. */
  private static final long MIN_APPEND_INTERVAL_MS = 8;

  /** Time before all others; half the minimum, so that differences do not overflow. */
  private static final long NEVER_MS = Long.MIN_VALUE / 2;

  /** Action that relies on a change and runs once the change is stored. */
  @FunctionalInterface
  interface StoredAction {

    /**
     * Runs the action.
     *
     * @param now time at which the change is known to be stored
     * @param out receives the effects of the action
     */
    void run(Now now, Consumer<PlanEffect> out);
  }

  /**
   * Append that has not succeeded yet.
   *
   * @param sequence number of the append
   * @param records records to store, empty if only the fencing token is confirmed; the log grows by
   *     a mark then
   * @param actions actions to run once the records are stored
   * @param firstSentMs time at which the append was first sent, in milliseconds of the monotonic
   *     clock
   */
  private record PendingAppend(
      long sequence, List<JobRecord> records, List<StoredAction> actions, long firstSentMs) {}

  /** Epoch of the planner's term, the fencing token of each append. */
  private final long epoch;

  /** Most bytes of the records of one append. */
  private final int maxAppendBytes;

  /** Records of changes that did not fit into the last append. */
  private final Deque<JobRecord> overflow = new ArrayDeque<>();

  /** Records that are larger than the store takes. */
  private final List<JobRecord> unstorable = new ArrayList<>();

  /** Jobs whose submission no append has carried. */
  private final Set<Job> submitted = new LinkedHashSet<>();

  /** Jobs whose progress has changed since the last append. */
  private final Set<Job> changed = new LinkedHashSet<>();

  /** Other records for the next append. */
  private final List<JobRecord> otherRecords = new ArrayList<>();

  /** Actions that rely on the changes for the next append. */
  private List<StoredAction> actions = new ArrayList<>();

  /** Append that is under way, null if none is. */
  private @Nullable PendingAppend pending;

  /** Number of failed attempts of the append that is under way. */
  private int failedAttempts;

  /** Number of the next append that carries records. */
  private long nextSequence;

  /** Time of the next attempt of the append that is under way, 0 if none is due. */
  private long retryAtMs;

  /** Time at which the last append was first sent, in milliseconds of the monotonic clock. */
  private long lastSentMs;

  /**
   * Time at which the last append that succeeded was sent, in milliseconds of the monotonic clock.
   */
  private long confirmedMs;

  /** End of the log after the last append that succeeded, -1 if unknown. */
  private long confirmedLogEnd = -1;

  /**
   * Time after which an append must have been sent to confirm the fencing token, in milliseconds of
   * the monotonic clock; the maximum while no append has been sent since the last confirmation was
   * discarded.
   */
  private long confirmableAfterMs = NEVER_MS;

  /**
   * Creates a writer without changes.
   *
   * @param epoch epoch of the planner's term
   * @param firstSequence number of the first append
   * @param confirmedMs time at which the store has confirmed the epoch, at the latest the start of
   *     the term, in milliseconds of the monotonic clock
   * @param maxAppendBytes most bytes of the records of one append
   */
  Ledger(long epoch, long firstSequence, long confirmedMs, int maxAppendBytes) {
    this.epoch = epoch;
    this.maxAppendBytes = maxAppendBytes;
    this.nextSequence = firstSequence;
    this.confirmedMs = confirmedMs;
    this.lastSentMs = confirmedMs;
  }

  /** Adds the submission of a job to the next append. */
  void submitted(Job job) {
    submitted.add(job);
  }

  /** Adds the progress of a job to the next append. */
  void changed(Job job) {
    changed.add(job);
  }

  /** Adds a record of any other kind to the next append. */
  void addRecord(JobRecord record) {
    otherRecords.add(record);
  }

  /** Runs an action once all changes so far are stored. */
  void runOnceStored(StoredAction action) {
    actions.add(action);
  }

  /**
   * Removes a job that no append has carried.
   *
   * @return true if its submission was still to be sent
   */
  boolean withdraw(Job job) {
    changed.remove(job);
    return submitted.remove(job);
  }

  Set<Job> unsentSubmissions() {
    return submitted;
  }

  /**
   * Returns the time at which the store last confirmed the fencing token, in milliseconds of the
   * monotonic clock: the time at which the append was sent, not that of the answer.
   */
  long confirmedMs() {
    return confirmedMs;
  }

  /**
   * Returns the end of the log after the last append that succeeded, -1 if it or the time of the
   * confirmation is unknown.
   */
  long confirmedLogEnd() {
    return confirmedMs == NEVER_MS ? -1 : confirmedLogEnd;
  }

  /**
   * Discards the confirmation of the fencing token, so that the store is asked for another at once.
   * Appends that were sent before do not confirm it: how long ago that was is unknown.
   */
  void requireReconfirmation() {
    confirmedMs = NEVER_MS;
    confirmedLogEnd = -1;
    lastSentMs = NEVER_MS;
    confirmableAfterMs = Long.MAX_VALUE;
  }

  /** Returns whether the store has an outage: the append under way has not succeeded in time. */
  boolean isStoreOut(Now now) {
    PendingAppend current = pending;
    return current != null && now.steadyMs() - current.firstSentMs > OUTAGE_MS;
  }

  /** Returns whether the append under way has failed repeatedly. */
  boolean isStoreFailing(Now now) {
    PendingAppend current = pending;
    return current != null
        && failedAttempts >= MIN_FAILED_ATTEMPTS
        && now.steadyMs() - current.firstSentMs >= FAILING_MS;
  }

  /** Handles the result of an append. Ignores results of earlier appends. */
  void appendEnded(PlanEvent.Appended event, Now now, Consumer<PlanEffect> out) {
    PendingAppend current = pending;
    if (current == null || current.sequence != event.sequence()) {
      return;
    }
    switch (event.result()) {
      case DONE -> {
        pending = null;
        confirmed(event.sentMs());
        confirmedLogEnd = Math.max(confirmedLogEnd, event.logEnd());
        current.actions.forEach(action -> action.run(now, out));
      }
      case FENCED -> out.accept(new PlanEffect.Resign("the store refused the fencing token"));
      case TOO_LARGE -> appendTooLarge(current, out);
      default -> {
        failedAttempts++;
        retryAtMs = now.steadyMs() + RETRY_PAUSE_MS;
      }
    }
  }

  /** Counts an append as a confirmation, or has another one sent at once if it is none. */
  private void confirmed(long sentMs) {
    if (sentMs > confirmableAfterMs) {
      confirmedMs = Math.max(confirmedMs, sentMs);
    } else {
      lastSentMs = NEVER_MS;
    }
  }

  /**
   * Handles an append that the store never takes: sends the first half of its records under the
   * same number, or gives up its only record. The actions wait for the other records.
   */
  private void appendTooLarge(PendingAppend current, Consumer<PlanEffect> out) {
    List<JobRecord> records = current.records;
    actions.addAll(0, current.actions);
    if (records.size() <= 1) {
      unstorable.addAll(records);
      pending = null;
      nextSequence = current.sequence;
      return;
    }
    int half = records.size() / 2;
    records.subList(half, records.size()).reversed().forEach(overflow::addFirst);
    pending =
        new PendingAppend(
            current.sequence, records.subList(0, half), List.of(), current.firstSentMs);
    out.accept(new PlanEffect.Append(epoch, current.sequence, records.subList(0, half)));
  }

  /** Removes and returns the records that the store does not take, because they are too large. */
  List<JobRecord> takeUnstorable() {
    List<JobRecord> taken = List.copyOf(unstorable);
    unstorable.clear();
    return taken;
  }

  /**
   * Sends what is due: another attempt of the append under way, else the changes, else a
   * confirmation.
   *
   * <p>Without changes and without an append under way everything is stored, so the waiting actions
   * run at once.
   */
  void flush(Now now, Consumer<PlanEffect> out) {
    PendingAppend current = pending;
    if (current != null) {
      retryIfDue(current, now, out);
      return;
    }
    if (!hasChanges()) {
      List<StoredAction> dueActions = actions;
      actions = new ArrayList<>();
      dueActions.forEach(action -> action.run(now, out));
      if (now.steadyMs() - lastSentMs >= CONFIRM_INTERVAL_MS) {
        send(new PendingAppend(nextSequence++, List.of(), List.of(), now.steadyMs()), now, out);
      }
      return;
    }
    if (now.steadyMs() - lastSentMs >= MIN_APPEND_INTERVAL_MS) {
      List<JobRecord> records = takeRecords();
      List<StoredAction> dueActions = List.of();
      if (!hasChanges()) {
        dueActions = actions;
        actions = new ArrayList<>();
      }
      send(new PendingAppend(nextSequence++, records, dueActions, now.steadyMs()), now, out);
    }
  }

  private boolean hasChanges() {
    return !(overflow.isEmpty()
        && submitted.isEmpty()
        && changed.isEmpty()
        && otherRecords.isEmpty());
  }

  private void retryIfDue(PendingAppend current, Now now, Consumer<PlanEffect> out) {
    if (retryAtMs > 0 && now.steadyMs() >= retryAtMs) {
      retryAtMs = 0;
      emit(current, now, out);
    }
  }

  private void send(PendingAppend next, Now now, Consumer<PlanEffect> out) {
    pending = next;
    failedAttempts = 0;
    retryAtMs = 0;
    lastSentMs = now.steadyMs();
    emit(next, now, out);
  }

  private void emit(PendingAppend append, Now now, Consumer<PlanEffect> out) {
    confirmableAfterMs = Math.min(confirmableAfterMs, now.steadyMs());
    out.accept(new PlanEffect.Append(epoch, append.sequence, append.records));
  }

  /**
   * Takes the records of changes, as many as one append may carry and at least one. Submissions
   * come before the progress of the same job; what is left over stays ahead of later changes.
   */
  private List<JobRecord> takeRecords() {
    List<JobRecord> records = new ArrayList<>();
    int bytes = 0;
    while (true) {
      JobRecord next = overflow.isEmpty() ? null : overflow.peek();
      if (next == null && !collectNextChange()) {
        return records;
      }
      if (next == null) {
        continue;
      }
      bytes += RecordSize.maxBytes(next);
      if (bytes > maxAppendBytes && !records.isEmpty()) {
        return records;
      }
      records.add(overflow.remove());
    }
  }

  /** Moves the records of one change to the overflow; returns false if there is no change. */
  private boolean collectNextChange() {
    if (!otherRecords.isEmpty()) {
      overflow.addAll(otherRecords);
      otherRecords.clear();
      return true;
    }
    if (!submitted.isEmpty()) {
      overflow.add(takeFirst(submitted).submissionRecord());
      return true;
    }
    if (!changed.isEmpty()) {
      overflow.addAll(takeFirst(changed).takeProgressRecords());
      return true;
    }
    return false;
  }

  private static Job takeFirst(Set<Job> jobs) {
    Iterator<Job> all = jobs.iterator();
    Job first = all.next();
    all.remove();
    return first;
  }
}
