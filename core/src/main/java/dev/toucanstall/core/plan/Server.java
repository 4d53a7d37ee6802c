package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.Resources;
import dev.toucanstall.core.job.ServerEntry;
import dev.toucanstall.core.job.TaskPhase;
import java.util.LinkedHashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** One incarnation of a backend server, as the planner knows it. Owned by the control thread. */
final class Server {

  /** Slowest rate of a backend server's clock relative to the planner's clock. */
  static final double SLOWEST_CLOCK = 0.98;

  /** Longest time that a slow clock loses between two readings of it, in milliseconds. */
  private static final long CLOCK_DRIFT_MS = 200;

  /** Newest entry of the backend server; changed by {@link #list} only. */
  ServerEntry entry;

  /** Index that holds the backend server, null once it has been removed. */
  @Nullable Servers home;

  /** Number in the order in which this planner learned of its backend servers. */
  long number;

  /** Whether the backend server has answered a renewal with this planner's fencing token. */
  boolean answered;

  /** Whether the backend server's entry was removed from the list. */
  boolean unlisted;

  /** Whether a lease renewal is under way. */
  boolean holding;

  /** Time at which the last lease renewal was sent, in milliseconds of the steady clock. */
  long holdSentMs;

  /** Earliest time of the next lease renewal, in milliseconds of the steady clock. */
  long holdAfterMs;

  /** Time at which the newest lists of runs were requested, in milliseconds of the steady clock. */
  long listedMs;

  /**
   * Time since which renewals have failed, in milliseconds of the steady clock, 0 while the backend
   * server is responsive.
   */
  long silentSinceMs;

  /**
   * Time since which connections are refused, in milliseconds of the steady clock, 0 if they are
   * not.
   */
  long refusingSinceMs;

  /** Last reading of the backend server's steady clock, in milliseconds. */
  long clockMs;

  /**
   * Time of the last reading of the backend server's clock, in milliseconds of the planner's steady
   * clock.
   */
  long clockReadMs;

  /**
   * Time at which all leases ever given have surely expired on the backend server's clock, in
   * milliseconds of the planner's steady clock.
   */
  long leasesExpiredMs;

  /** Number of the newest finished run that is stored. */
  long storedEnds;

  /** Number of the newest finished run that was acknowledged to the backend server. */
  long acknowledgedEnds;

  /** Number of the newest finished run that has been applied. */
  long appliedEnds;

  /** Time until which the backend server gets no new tasks, in milliseconds of the steady clock. */
  long suspendedUntilMs;

  /**
   * Whether the backend server is being emptied by the planner; changed by {@link #evacuate} only.
   */
  boolean evacuating;

  /** Start of the last evacuation, in milliseconds of the steady clock, 0 if there was none. */
  long evacuatingSinceMs;

  /** Whether the machine has been ordered to another pool. */
  boolean moving;

  /**
   * Time at which the backend server was last seen with tasks, in milliseconds of the steady clock.
   */
  long usedMs;

  /** Number of consecutive failed runs. */
  int failures;

  /** Resources that the bound tasks reserve. */
  Resources used = Resources.NONE;

  /** Capacity that no bound task reserves. */
  private Resources freeCapacity;

  /** Number of bound filling tasks, which use only processors that others leave idle. */
  int filling;

  /** Number of bound lasting tasks that are not filling. */
  int serving;

  /** Bound tasks in the order of their binding. */
  final Set<Task> tasks = new LinkedHashSet<>();

  /** Creates a backend server without tasks that has not answered yet. */
  Server(ServerEntry entry, long nowMs) {
    this.entry = entry;
    this.freeCapacity = entry.capacity();
    this.clockMs = entry.serverClockMs();
    this.clockReadMs = nowMs;
    this.usedMs = nowMs;
  }

  /**
   * Takes over a later incarnation under the same id. Its finished runs are numbered anew, and
   * earlier runs have ended unless its lists show otherwise.
   */
  void beginLife(ServerEntry life, long nowMs) {
    list(life);
    answered = false;
    holding = false;
    holdAfterMs = 0;
    refusingSinceMs = 0;
    storedEnds = 0;
    acknowledgedEnds = 0;
    appliedEnds = 0;
    readClock(life.serverClockMs(), nowMs);
    tasks.stream()
        .filter(t -> t.phase != TaskPhase.ORDERED)
        .forEach(t -> t.settledMs = t.stopSent ? t.settledMs : nowMs);
  }

  /** Tells whether finished runs have been applied that are not stored yet. */
  boolean awaitsStore() {
    return appliedEnds > storedEnds;
  }

  /**
   * Marks the finished runs of an incarnation as stored up to a number. Ignored for any other
   * incarnation, because each numbers its finished runs anew.
   */
  void endsStored(long bornMs, long upTo) {
    if (entry.startTimeMs() == bornMs) {
      storedEnds = Math.max(storedEnds, upTo);
      look();
    }
  }

  /** Takes over a new entry. */
  void list(ServerEntry next) {
    boolean moves =
        !next.service().equals(entry.service()) || !next.capacity().equals(entry.capacity());
    Servers index = home;
    if (moves && index != null) {
      index.leave(this);
    }
    entry = next;
    freeCapacity = next.capacity().minus(used);
    if (moves && index != null) {
      index.enter(this);
    }
    noteLeaving();
    look();
  }

  /** Begins or ends the evacuation. */
  void evacuate(boolean now) {
    evacuating = now;
    noteLeaving();
  }

  /** Updates the index of backend servers whose tasks must leave. */
  private void noteLeaving() {
    Servers index = home;
    if (index != null) {
      index.noteLeaving(this, evacuating || entry.draining());
    }
  }

  /** Marks the backend server for the next check of lease renewals. */
  void look() {
    Servers index = home;
    if (index != null) {
      index.look(this);
    }
  }

  /** Adds a task and reserves its resources. */
  void bind(Task task) {
    if (tasks.add(task)) {
      use(used.plus(task.step.reserved()));
      count(task, 1);
      look();
    }
  }

  /** Removes a task and frees its resources. */
  void unbind(Task task) {
    if (tasks.remove(task)) {
      use(used.minus(task.step.reserved()));
      count(task, -1);
    }
  }

  /** Adds a change to the counter of a task's kind. */
  private void count(Task task, int change) {
    if (task.step.fills()) {
      filling += change;
    } else if (task.step.lasting()) {
      serving += change;
    }
  }

  /** Sets the reserved resources and updates the index by free capacity. */
  private void use(Resources next) {
    Servers index = home;
    Runnable change =
        () -> {
          used = next;
          freeCapacity = entry.capacity().minus(next);
        };
    if (index == null) {
      change.run();
    } else {
      index.reorder(this, change);
    }
  }

  /** Updates the time at which the backend server was last seen with tasks. */
  void noteUse(long nowMs) {
    if (!tasks.isEmpty()) {
      usedMs = nowMs;
    }
  }

  /** Returns the capacity that no bound task reserves. */
  Resources freeCapacity() {
    return freeCapacity;
  }

  /** Records a reading of the backend server's clock. */
  void readClock(long clock, long nowMs) {
    clockMs = clock;
    clockReadMs = nowMs;
  }

  /**
   * Gives a lease: returns its expiry on the backend server's clock, and extends the time at which
   * all leases have surely expired.
   *
   * @param lengthMs length of the lease, in milliseconds
   * @param nowMs time of the event, in milliseconds of the steady clock
   * @return the expiry in milliseconds of the backend server's clock
   */
  long lease(long lengthMs, long nowMs) {
    long ahead = nowMs - clockReadMs + lengthMs;
    leasesExpiredMs = Math.max(leasesExpiredMs, clockReadMs + (long) (ahead / SLOWEST_CLOCK) + 1);
    return clockMs + ahead;
  }

  /**
   * Limits the time at which all leases have expired. The backend server has seen this planner's
   * fencing token, so no lease is longer than one that a predecessor gave just now.
   *
   * @param lengthMs length of a lease, in milliseconds
   * @param nowMs time of the event, in milliseconds of the steady clock
   */
  void capLeases(long lengthMs, long nowMs) {
    long longest = (long) ((lengthMs + CLOCK_DRIFT_MS) / SLOWEST_CLOCK);
    leasesExpiredMs = Math.min(leasesExpiredMs, nowMs + longest);
  }

  /** Tells whether the backend server may get new tasks. */
  boolean takesTasks(long nowMs) {
    return answered
        && !unlisted
        && !entry.draining()
        && !evacuating
        && !moving
        && silentSinceMs == 0
        && nowMs >= suspendedUntilMs;
  }
}
