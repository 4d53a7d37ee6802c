package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.JobRecord;
import dev.toucanstall.core.job.JobRecord.UnaccountedStart;
import dev.toucanstall.core.job.TaskKey;
import dev.toucanstall.core.lease.LeaseBound;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Starts that were sent and may yet be carried out, as no answer and no list accounts for them. One
 * of them outlives the run that it was sent for: a later incarnation of its backend server, which
 * has seen neither the run's stop nor a higher fencing token, may carry it out. Owned by the
 * control thread.
 *
 * <p>They are stored for each id of a backend server, because they bound what the next planner may
 * do, too.
 */
final class UnaccountedStarts {

  /** Most starts to one backend server that are stored. */
  static final int MAX_STORED = 500;

  /**
   * A start.
   *
   * @param task the task
   * @param run number of the run
   * @param serverStartTimeMs start time of the incarnation to which it was sent, in Unix
   *     milliseconds; 0 if an earlier planner has sent it
   * @param arrivesUntilMs time until which it may arrive, in milliseconds of the monotonic clock
   */
  private record Start(TaskKey task, long run, long serverStartTimeMs, long arrivesUntilMs) {

    boolean isSame(Start other) {
      return task.equals(other.task)
          && run == other.run
          && serverStartTimeMs == other.serverStartTimeMs;
    }
  }

  /** Starts by the id of the backend server to which they were sent; no list is empty. */
  private final Map<String, List<Start>> byServer = new LinkedHashMap<>();

  /** Ids of backend servers whose starts may differ from those that were stored last. */
  private final Set<String> changed = new LinkedHashSet<>();

  /**
   * Takes over what an earlier planner has stored. The starts were sent before this term.
   *
   * @param record starts to one backend server
   * @param now start of the term
   */
  void restore(JobRecord.UnaccountedStarts record, Now now) {
    record.starts().forEach(s -> addEarlier(record.server(), taskKey(s), s.run(), now));
  }

  private static TaskKey taskKey(UnaccountedStart start) {
    return new TaskKey(start.job(), start.occurrence(), start.step(), start.index());
  }

  /**
   * Adds a start of this term that had no answer.
   *
   * @param task the task, in the run that was to be started
   * @param server id of the backend server to which it was sent
   * @param serverStartTimeMs start time of the incarnation to which it was sent, in Unix
   *     milliseconds
   * @param sentMs time at which it was sent, or later, in milliseconds of the monotonic clock
   */
  void add(Task task, String server, long serverStartTimeMs, long sentMs) {
    long arrivesUntilMs = sentMs + LeaseBound.MAX_LATE_TRANSIT_MS;
    put(server, new Start(task.key, task.run, serverStartTimeMs, arrivesUntilMs));
  }

  /**
   * Adds a start that an earlier planner may have sent.
   *
   * @param server id of the backend server
   * @param task the task
   * @param run number of the run
   * @param now time that isn't before the sending
   */
  void addEarlier(String server, TaskKey task, long run, Now now) {
    put(server, new Start(task, run, 0, now.steadyMs() + LeaseBound.MAX_LATE_TRANSIT_MS));
  }

  private void put(String server, Start start) {
    List<Start> starts = byServer.computeIfAbsent(server, id -> new ArrayList<>());
    starts.removeIf(start::isSame);
    starts.add(start);
    changed.add(server);
  }

  /**
   * Forgets the starts of a task's newest run to a backend server, because it has arrived.
   *
   * @return whether there was one
   */
  boolean arrived(Task task, Server at) {
    return remove(at.entry.id(), s -> s.task().equals(task.key) && s.run() == task.run);
  }

  private boolean remove(String server, Predicate<Start> condition) {
    List<Start> starts = byServer.get(server);
    if (starts == null || !starts.removeIf(condition)) {
      return false;
    }
    if (starts.isEmpty()) {
      byServer.remove(server);
    }
    changed.add(server);
    return true;
  }

  /**
   * Returns whether a start of any run of a task may arrive at a backend server, whichever of its
   * incarnations that is.
   *
   * @param server id of the backend server
   * @param task the task
   * @param timeMs a time in milliseconds of the monotonic clock
   * @return true if one may arrive after that time
   */
  boolean mayArrive(String server, TaskKey task, long timeMs) {
    return byServer.getOrDefault(server, List.of()).stream()
        .anyMatch(s -> s.task().equals(task) && s.arrivesUntilMs() > timeMs);
  }

  /**
   * Returns whether a start of a task's newest run that this planner has sent to an incarnation may
   * yet arrive under its id.
   */
  boolean mayFollow(Task task, Server incarnation, long nowMs) {
    return byServer.getOrDefault(incarnation.entry.id(), List.of()).stream()
        .filter(s -> s.task().equals(task.key) && s.run() == task.run)
        .filter(s -> s.serverStartTimeMs() == incarnation.entry.startTimeMs())
        .anyMatch(s -> s.arrivesUntilMs() > nowMs);
  }

  /** Returns the id of a backend server at which a start of a task may yet arrive, or empty. */
  Optional<String> serverOf(TaskKey task, long nowMs) {
    return byServer.keySet().stream().filter(id -> mayArrive(id, task, nowMs)).findFirst();
  }

  /** Drops the starts that can't arrive any more. */
  void dropExpired(Now now) {
    if (!byServer.isEmpty()) {
      List.copyOf(byServer.keySet())
          .forEach(id -> remove(id, s -> s.arrivesUntilMs() <= now.steadyMs()));
    }
  }

  /** Has the starts stored with the next append if they have changed. */
  void store(Ledger ledger) {
    changed.forEach(id -> ledger.addRecord(record(id)));
    changed.clear();
  }

  /** Returns the record of the newest starts to a backend server. */
  private JobRecord record(String server) {
    List<Start> starts = byServer.getOrDefault(server, List.of());
    return new JobRecord.UnaccountedStarts(
        server,
        starts.stream()
            .skip(Math.max(0, starts.size() - MAX_STORED))
            .map(UnaccountedStarts::stored)
            .toList());
  }

  private static UnaccountedStart stored(Start start) {
    TaskKey task = start.task();
    return new UnaccountedStart(
        task.job(), task.occurrence(), task.step(), task.index(), start.run());
  }
}
