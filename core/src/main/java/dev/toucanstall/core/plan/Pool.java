package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.MachineEntry;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * A service's backend servers that work, and how many it has and needs: a look at one moment,
 * counted on while machines are ordered to and from it. Owned by the control thread.
 */
final class Pool {

  /** A pool of this many machines gives none away. */
  private static final int LEAST_MACHINES = 2;

  final Plan plan;
  final String service;
  final List<Server> servers;
  final int needed;
  int have;

  Pool(Plan plan, String service, Now now) {
    this.plan = plan;
    this.service = service;
    this.servers = plan.servers.ofService(service).stream().filter(s -> works(s, now)).toList();
    this.needed = Demand.of(plan, service, now).machines(plan.servers.largest());
    this.have = servers.size() + plan.moves.incoming(service, now.steadyMs());
  }

  private static boolean works(Server server, Now now) {
    return !server.unlisted
        && !server.entry.draining()
        && !server.evacuating
        && !server.moving
        && server.silentSinceMs == 0
        && now.steadyMs() >= server.suspendedUntilMs;
  }

  /** Tells whether the machine of some backend server is not listed yet. */
  boolean hasNamelessMachine() {
    return servers.stream()
        .anyMatch(s -> s.answered && !plan.machines.byServer.containsKey(s.entry.id()));
  }

  int surplus() {
    return have - needed;
  }

  boolean mayLose(int reserve) {
    return surplus() > reserve && have > LEAST_MACHINES;
  }

  /** Machines whose backend server has had no task for a time. */
  Stream<MachineEntry> idle(Now now, long forMs) {
    return servers.stream()
        .filter(s -> s.answered && s.tasks.isEmpty() && now.steadyMs() - s.usedMs >= forMs)
        .flatMap(s -> Optional.ofNullable(plan.machines.byServer.get(s.entry.id())).stream());
  }

  /** How long a machine's backend server has had no task, in milliseconds. */
  long idleMs(MachineEntry machine, Now now) {
    Server server = plan.servers.get(machine.serverId());
    return server == null ? 0 : now.steadyMs() - server.usedMs;
  }
}
