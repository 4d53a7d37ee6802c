package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.MachineEntry;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Backend servers of a service's pool that can take tasks, and how many machines the pool has and
 * needs.
 *
 * <p>A snapshot for one rebalance, updated as machines are ordered to and from the pool. Owned by
 * the control thread.
 */
final class Pool {

  /** Number of machines that a pool always retains. */
  private static final int MIN_MACHINES = 2;

  final Plan plan;

  final String service;

  /** Backend servers that can take tasks. */
  final List<Server> servers;

  /** Number of machines that meet the service's demand. */
  final int needed;

  /** Number of machines in the pool, with those that are on their way to it. */
  int machineCount;

  Pool(Plan plan, String service, Now now) {
    this.plan = plan;
    this.service = service;
    this.servers =
        plan.servers.ofService(service).stream().filter(s -> isAvailable(s, now)).toList();
    this.needed = Demand.of(plan, service, now).machinesNeeded(plan.servers.largestCapacity());
    this.machineCount = servers.size() + plan.moves.incomingCount(service, now.steadyMs());
  }

  private static boolean isAvailable(Server server, Now now) {
    return !server.unlisted
        && !server.entry.draining()
        && !server.evacuating
        && !server.moving
        && server.unresponsiveSinceMs == 0
        && !server.isSuspended(now.steadyMs());
  }

  /**
   * Returns whether the machine of some backend server is missing from the newest list of machines.
   */
  boolean hasUnlistedMachine() {
    return servers.stream()
        .anyMatch(s -> s.answered && !plan.machines.byServer.containsKey(s.entry.id()));
  }

  /** Returns how many machines the pool has beyond its need, negative if it is short of them. */
  int surplus() {
    return machineCount - needed;
  }

  /** Returns whether the pool can give a machine away and still have a reserve beyond its need. */
  boolean canGive(int reserve) {
    return surplus() > reserve && machineCount > MIN_MACHINES;
  }

  /** Returns the machines whose backend server has had no task for a time in milliseconds. */
  Stream<MachineEntry> idleMachines(Now now, long minIdleMs) {
    return servers.stream()
        .filter(s -> s.answered && s.tasks.isEmpty() && now.steadyMs() - s.lastUsedMs >= minIdleMs)
        .flatMap(s -> Optional.ofNullable(plan.machines.byServer.get(s.entry.id())).stream());
  }

  /**
   * Returns how long a machine's backend server has had no task, in milliseconds, 0 if the backend
   * server is unknown.
   */
  long idleMs(MachineEntry machine, Now now) {
    Server server = plan.servers.get(machine.serverId());
    return server == null ? 0 : now.steadyMs() - server.lastUsedMs;
  }
}
