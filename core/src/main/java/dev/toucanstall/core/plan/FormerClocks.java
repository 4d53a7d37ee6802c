package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.JobRecord;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Backend servers that may hold leases on the clock of a former incarnation. Owned by the control
 * thread.
 *
 * <p>Their ids are stored, because the next planner can't tell such a lease from an ordinary one:
 * the records of tasks name the incarnation that the planner knew when they were stored.
 */
final class FormerClocks {

  private final Set<Server> servers = new LinkedHashSet<>();

  /** Ids that an earlier planner has stored. */
  private Set<String> restoredIds = Set.of();

  /** Ids that were stored last. */
  private List<String> storedIds = List.of();

  /** Whether the ids may differ from those that were stored last. */
  private boolean changed;

  /** Takes over what an earlier planner has stored. */
  void restore(JobRecord.FormerClockLeases record) {
    storedIds = record.servers();
    restoredIds = Set.copyOf(storedIds);
    changed = true;
  }

  /** Returns whether an earlier planner has stored the id of a backend server. */
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
    changed |= servers.removeIf(server -> !server.leases.mayBeOnFormerClock(now.steadyMs()));
  }

  /** Has the ids stored with the next append if they have changed. */
  void store(Ledger ledger) {
    if (!changed) {
      return;
    }
    changed = false;
    List<String> ids = servers.stream().map(server -> server.entry.id()).distinct().toList();
    if (!ids.equals(storedIds)) {
      storedIds = ids;
      ledger.addRecord(new JobRecord.FormerClockLeases(ids));
    }
  }
}
