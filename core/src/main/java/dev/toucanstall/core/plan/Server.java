package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.Resources;
import dev.toucanstall.core.job.ServerEntry;
import dev.toucanstall.core.job.TaskPhase;
import java.util.LinkedHashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** One life of a backend server, as the planner sees it. Owned by the control thread. */
final class Server {

  /** Slowest rate of a backend server's clock against ours. */
  static final double SLOWEST_CLOCK = 0.98;

  /** What a slow clock loses at most between two looks at it, in milliseconds. */
  private static final long CLOCK_DRIFT_MS = 200;

  /** What it says of itself; changed by {@link #list} only. */
  ServerEntry entry;

  /** Where it is indexed, nothing once it is forgotten. */
  @Nullable Servers home;

  /** Rises with each backend server that becomes known. */
  long number;

  /** Whether it has answered a call with our fencing token. */
  boolean answered;

  /** Whether it no longer lists itself. */
  boolean unlisted;

  /** Whether a call that renews its lease is under way. */
  boolean holding;

  /** When the last such call was sent. */
  long holdSentMs;

  /** Earliest time of the next such call. */
  long holdAfterMs;

  /** When the newest of its lists was asked for, steady milliseconds. */
  long listedMs;

  /** When its calls began to fail, 0 if they do not. */
  long silentSinceMs;

  /** Since when it refuses connections, 0 if it does not. */
  long refusingSinceMs;

  /** Its clock when we last read it, and when that was. */
  long clockMs;

  long clockReadMs;

  /** When all leases ever given have surely run out on its clock, steady milliseconds. */
  long leasesExpiredMs;

  /** The highest end that is stored, and the highest that it was told of. */
  long storedEnds;

  long acknowledgedEnds;

  /** The highest end that has been applied. */
  long appliedEnds;

  /** Until when it gets no new tasks. */
  long suspendedUntilMs;

  /** Whether its tasks are being moved away; changed by {@link #evacuate} only. */
  boolean evacuating;

  /** Since when its tasks are being moved away, 0 if they are not. */
  long evacuatingSinceMs;

  /** Whether its machine has been ordered to another pool. */
  boolean moving;

  /** When it was last seen with tasks. */
  long usedMs;

  /** Failures in a row. */
  int failures;

  Resources used = Resources.NONE;
  private Resources freeCapacity;

  /** How many of its tasks fill, and how many last without filling. */
  int filling;

  int serving;
  final Set<Task> tasks = new LinkedHashSet<>();

  Server(ServerEntry entry, long nowMs) {
    this.entry = entry;
    this.freeCapacity = entry.capacity();
    this.clockMs = entry.serverClockMs();
    this.clockReadMs = nowMs;
    this.usedMs = nowMs;
  }

  /**
   * Begins another life under the same id: it counts its ends anew, and what ran before is gone
   * unless its lists show otherwise.
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

  /** Tells whether ends that it has listed are not stored yet. */
  boolean awaitsStore() {
    return appliedEnds > storedEnds;
  }

  /** The ends of a life up to a number are stored; another life has numbers of its own. */
  void endsStored(long bornMs, long upTo) {
    if (entry.startTimeMs() == bornMs) {
      storedEnds = Math.max(storedEnds, upTo);
      look();
    }
  }

  /** It says something else of itself. */
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

  /** Has its tasks moved away, or not any more. */
  void evacuate(boolean now) {
    evacuating = now;
    noteLeaving();
  }

  private void noteLeaving() {
    Servers index = home;
    if (index != null) {
      index.noteLeaving(this, evacuating || entry.draining());
    }
  }

  /** The next renewal of leases looks at it. */
  void look() {
    Servers index = home;
    if (index != null) {
      index.look(this);
    }
  }

  void bind(Task task) {
    if (tasks.add(task)) {
      use(used.plus(task.step.reserved()));
      count(task, 1);
      look();
    }
  }

  void unbind(Task task) {
    if (tasks.remove(task)) {
      use(used.minus(task.step.reserved()));
      count(task, -1);
    }
  }

  private void count(Task task, int change) {
    if (task.step.fills()) {
      filling += change;
    } else if (task.step.lasting()) {
      serving += change;
    }
  }

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

  void noteUse(long nowMs) {
    if (!tasks.isEmpty()) {
      usedMs = nowMs;
    }
  }

  Resources freeCapacity() {
    return freeCapacity;
  }

  void readClock(long clock, long nowMs) {
    clockMs = clock;
    clockReadMs = nowMs;
  }

  /** Returns a time on its clock, and remembers when it has surely passed. */
  long lease(long lengthMs, long nowMs) {
    long ahead = nowMs - clockReadMs + lengthMs;
    leasesExpiredMs = Math.max(leasesExpiredMs, clockReadMs + (long) (ahead / SLOWEST_CLOCK) + 1);
    return clockMs + ahead;
  }

  /**
   * It has seen our fencing token, so no lease reaches further than one that a predecessor has just
   * given.
   */
  void capLeases(long lengthMs, long nowMs) {
    long longest = (long) ((lengthMs + CLOCK_DRIFT_MS) / SLOWEST_CLOCK);
    leasesExpiredMs = Math.min(leasesExpiredMs, nowMs + longest);
  }

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
