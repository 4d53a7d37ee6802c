package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.Resources;
import dev.toucanstall.core.job.ServerEntry;
import dev.toucanstall.core.job.TaskPhase;
import dev.toucanstall.core.lease.LeaseBound;
import dev.toucanstall.core.lease.ServerClock;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** One incarnation of a backend server, as the planner knows it. Owned by the control thread. */
final class Server {

  /** Number of fencing tokens for one epoch, one for each incarnation under an id. */
  private static final long TOKENS_PER_EPOCH = 1_024;

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

  /**
   * Whether the present incarnation is known from its lists only: its kind, its capacity and its
   * service may differ from those of the entry, which is of a former one.
   */
  boolean awaitsEntry;

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

  /**
   * Time since which it is in doubt which incarnation answers, as an order had no answer, in
   * milliseconds of the monotonic clock; 0 once lists that were requested later have shown it.
   */
  private long inDoubtSinceMs;

  /**
   * Whether the next call asks for the lists alone: it gives no lease, acknowledges nothing and is
   * answered at once.
   */
  boolean listsOnly;

  /** Clock of this incarnation. */
  final ServerClock clock;

  /** Time by which all leases have expired, also those of former incarnations. */
  final LeaseBound leases;

  /** Number of the newest finished run that is stored. */
  long storedCompletion;

  /**
   * Time since which a due acknowledgement is withheld, in milliseconds of the monotonic clock, 0
   * if none is.
   */
  long acknowledgementWithheldSinceMs;

  /**
   * Time since which a renewal that acknowledges waits for the answers to starts, in milliseconds
   * of the monotonic clock, 0 if none does.
   */
  long awaitsStartAnswersSinceMs;

  /** Number of the newest finished run that was acknowledged to the backend server. */
  long acknowledgedCompletion;

  /**
   * Number up to which the last renewal that acknowledged did so, for the incarnation known then.
   */
  private long sentAcknowledgement;

  /** Time at which that renewal was sent, in milliseconds of the monotonic clock, 0 if none was. */
  private long acknowledgementSentMs;

  /** Number of the newest finished run that has been applied. */
  long appliedCompletion;

  /**
   * Time until which the backend server gets no new tasks because it has refused one, in
   * milliseconds of the monotonic clock.
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

  /** Runs that have failed here, and the suspension that follows. */
  final ServerFailures failures = new ServerFailures();

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

  Server(ServerEntry entry, LeaseBound leases, long nowMs) {
    this.entry = entry;
    this.freeCapacity = entry.capacity();
    this.clock = new ServerClock(entry.serverClockMs(), nowMs);
    this.leases = leases;
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
   */
  void beginIncarnation(ServerEntry newEntry, long nowMs) {
    updateEntry(newEntry);
    answered = false;
    inDoubtSinceMs = 0;
    requestLists();
    storedCompletion = 0;
    acknowledgedCompletion = 0;
    appliedCompletion = 0;
    clock.read(newEntry.serverClockMs(), nowMs);
    leases.restarted(nowMs);
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
    awaitsEntry = false;
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
        .filter(Server::isUnconfirmed)
        .anyMatch(t -> t.orderedMs >= listRequestedMs && t.orderedMs < sentBeforeMs);
  }

  /** Takes note that a renewal which acknowledges finished runs up to a number is sent. */
  void acknowledgementSent(long upTo, long nowMs) {
    sentAcknowledgement = upTo;
    acknowledgementSentMs = nowMs;
  }

  /**
   * Returns whether a renewal that acknowledges was sent after a time, in milliseconds of the
   * monotonic clock, and has no answer, so that it may be on its way.
   */
  boolean hasUnansweredAcknowledgement(long sentAfterMs) {
    return acknowledgementSentMs > sentAfterMs && sentAcknowledgement > acknowledgedCompletion;
  }

  /**
   * Takes note that an order had no answer: the backend server may have started again meanwhile.
   * Its lists are requested at once, unless they are requested already.
   */
  void doubtIncarnation(long nowMs) {
    boolean requested = isIncarnationInDoubt() || unresponsiveSinceMs > 0;
    inDoubtSinceMs = nowMs;
    if (!requested) {
      requestLists();
    }
  }

  /**
   * Has the lists requested at once, without a lease, to learn whether the backend server is up and
   * which incarnation it is: nothing may have been heard of it for long if it had no tasks.
   */
  void checkLiveness() {
    listsOnly = true;
    requestLists();
  }

  /** Takes note that a call for a lease or for the lists is sent. */
  void callSent(long nowMs) {
    listsOnly = false;
    renewalPending = true;
    renewalSentMs = nowMs;
  }

  /** Has the lists requested at once, also while a lease renewal is under way. */
  void requestLists() {
    renewalPending = false;
    nextRenewalMs = 0;
    markForRenewal();
  }

  /** Takes note that lists have shown the incarnation. */
  void incarnationShown(long listsRequestedMs) {
    leases.incarnationShown();
    if (inDoubtSinceMs < listsRequestedMs) {
      inDoubtSinceMs = 0;
    }
  }

  /**
   * Returns whether a later incarnation may answer instead of this one as far as the planner knows,
   * so that orders with times on this one's clock are not sent.
   */
  boolean isIncarnationInDoubt() {
    return inDoubtSinceMs > 0 || leases.isRestartSuspected();
  }

  /** Returns whether the entry of the present incarnation will soon be read, as it is listed. */
  boolean isEntryExpected() {
    return awaitsEntry && !unlisted;
  }

  /** Returns the number of starts that were sent and whose runs no answer or list has shown. */
  long unconfirmedStarts() {
    return tasks.stream().filter(Server::isUnconfirmed).count();
  }

  private static boolean isUnconfirmed(Task task) {
    return task.startsSent > 0 && task.isStartUnconfirmed();
  }

  /**
   * Gives a lease: returns its expiry on the backend server's clock, and extends the time at which
   * all leases have surely expired.
   *
   * @param lengthMs length of the lease, in milliseconds
   * @param nowMs time of the event, in milliseconds of the monotonic clock
   * @return the expiry in milliseconds of the backend server's clock
   */
  long extendLease(long lengthMs, long nowMs) {
    leases.given(lengthMs, nowMs);
    return clock.expiryMs(lengthMs, nowMs);
  }

  boolean takesTasks(long nowMs) {
    return answered
        && !isIncarnationInDoubt()
        && !unlisted
        && !awaitsEntry
        && !entry.draining()
        && !evacuating
        && !moving
        && unresponsiveSinceMs == 0
        && !isSuspended(nowMs);
  }

  /** Returns whether the backend server gets no new tasks for a while. */
  boolean isSuspended(long nowMs) {
    return nowMs < suspendedUntilMs || failures.isSuspended(nowMs);
  }
}
