package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.JobRecord;
import dev.toucanstall.core.lease.LeaseBound;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Stream;

/**
 * Backend servers that may hold leases on the clock of a former incarnation. Owned by the control
 * thread.
 *
 * <p>Their ids are stored, because the next planner can't tell such a lease from an ordinary one:
 * the records of tasks name the incarnation that the planner knew when they were stored.
 */
final class FormerClocks {

  private final Set<Server> servers = new LinkedHashSet<>();

  /**
   * Times at which such leases have expired of backend servers that are forgotten, by their ids, in
   * milliseconds of the monotonic clock. One may be listed again under a next planner.
   */
  private final Map<String, Long> forgotten = new LinkedHashMap<>();

  /** Ids that an earlier planner has stored, until the leases that it gave have expired. */
  private Set<String> restoredIds = Set.of();

  /** Time at which those leases have expired, in milliseconds of the monotonic clock. */
  private long restoredUntilMs;

  /** Ids that were stored last. */
  private List<String> storedIds = List.of();

  /** Whether the ids may differ from those that were stored last. */
  private boolean changed;

  /**
   * Takes over what an earlier planner has stored.
   *
   * @param record the ids
   * @param untilMs time at which the leases have expired that earlier planners gave on a former
   *     clock, in milliseconds of the monotonic clock
   */
  void restore(JobRecord.FormerClockLeases record, long untilMs) {
    storedIds = record.servers();
    restoredIds = Set.copyOf(storedIds);
    restoredUntilMs = untilMs;
  }

  /** Returns whether a backend server may hold such leases of an earlier planner. */
  boolean isRestored(String id) {
    return restoredIds.contains(id);
  }

  /** Adds a backend server if it may hold such leases. */
  void update(Server server, Now now) {
    if (server.leases.mayBeOnFormerClock(now.steadyMs()) && servers.add(server)) {
      changed = true;
    }
  }

  /** Drops the backend servers whose leases on a former clock have expired. */
  void dropExpired(Now now) {
    servers.stream()
        .filter(server -> server.containingIndex == null)
        .forEach(
            server ->
                forgotten.put(server.entry.id(), LeaseBound.formerClockEndMs(now.steadyMs())));
    servers.removeIf(server -> server.containingIndex == null);
    changed |= servers.removeIf(server -> !server.leases.mayBeOnFormerClock(now.steadyMs()));
    changed |= forgotten.values().removeIf(endMs -> now.steadyMs() >= endMs);
    if (!restoredIds.isEmpty() && now.steadyMs() >= restoredUntilMs) {
      restoredIds = Set.of();
      changed = true;
    }
  }

  /** Has the ids stored with the next append if they have changed. */
  void store(Ledger ledger) {
    if (!changed) {
      return;
    }
    changed = false;
    List<String> ids =
        Stream.of(
                restoredIds.stream(),
                forgotten.keySet().stream(),
                servers.stream().map(server -> server.entry.id()))
            .flatMap(Function.identity())
            .distinct()
            .sorted()
            .toList();
    if (!ids.equals(storedIds)) {
      storedIds = ids;
      ledger.addRecord(new JobRecord.FormerClockLeases(ids));
    }
  }
}
