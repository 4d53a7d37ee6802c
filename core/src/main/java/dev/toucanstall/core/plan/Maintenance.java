package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.MachineEntry;
import dev.toucanstall.core.job.WaveOrder;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Decides which machine of a maintenance wave is emptied and maintained next.
 *
 * <p>The planner evacuates the backend server of a machine and orders the maintenance once no task
 * is left on it.
 */
final class Maintenance {

  /** Time assumed to empty and maintain one machine and list it again, in milliseconds. */
  private static final long MACHINE_CYCLE_MS = 5_000;

  /**
   * Divisor of a pool's size that gives how many of its machines may be away for waves while the
   * pool has short jobs open.
   */
  private static final int BUSY_POOL_DIVISOR = 6;

  /**
   * Divisor of a pool's size that gives how many of its machines may be away for waves while the
   * pool has no short jobs open, or while the wave is late.
   */
  private static final int IDLE_POOL_DIVISOR = 3;

  private Maintenance() {}

  /** Adds a wave. Does nothing if the wave is known. */
  static void waveOrdered(Plan plan, WaveOrder order, Now now) {
    if (plan.waves.containsKey(order.number())) {
      return;
    }
    plan.waves.put(
        order.number(),
        new Wave(order, plan.machines.orders.ofWave(order.number()), now.steadyMs()));
    plan.logEvent(
        "wave-ordered",
        "wave",
        Integer.toString(order.number()),
        "machines",
        Integer.toString(order.machines().size()));
  }

  /**
   * Takes over a new list of machines. Machines that are in service again no longer count as away.
   */
  static void machinesRead(Plan plan, PlanEvent.MachinesRead read, Now now) {
    plan.machines.applyList(read.machines(), read.requestedMs(), now);
    for (Wave wave : plan.waves.values()) {
      List<String> back =
          wave.downSinceMs.entrySet().stream()
              .filter(e -> e.getValue() < read.requestedMs() && isBack(plan, e.getKey()))
              .map(Map.Entry::getKey)
              .toList();
      for (String machine : back) {
        wave.downSinceMs.remove(machine);
        cancelEmptying(plan, wave, machine);
      }
    }
  }

  /**
   * Returns whether a maintained machine is available again: in service with a listed backend
   * server, or in service in a pool whose machines are switched off. A machine that no longer
   * exists counts too.
   */
  private static boolean isBack(Plan plan, String machine) {
    MachineEntry entry = plan.machines.byName.get(machine);
    if (entry == null) {
      return true;
    }
    boolean off = plan.catalog.sparePools().contains(entry.service());
    return entry.up() && (off || plan.servers.containsKey(entry.serverId()));
  }

  static void machinesUnknown(Plan plan, PlanEvent.MachinesUnknown unknown, Now now) {
    plan.machines.listEnded(now);
    plan.logEvent("machines-unknown", "why", unknown.reason());
  }

  /** Lets the backend server of a machine take tasks again. */
  static void cancelEmptying(Plan plan, Wave wave, String machine) {
    String id = wave.emptying.remove(machine);
    if (id != null) {
      endEvacuation(plan, id);
    }
  }

  static void endEvacuation(Plan plan, String serverId) {
    Server server = plan.servers.get(serverId);
    if (server != null) {
      server.setEvacuating(false);
      plan.markForPlacement(server);
    }
  }

  /** Begins to evacuate a backend server, unless it is unknown or being evacuated. */
  private static void evacuate(Plan plan, String serverId, Now now) {
    Server server = plan.servers.get(serverId);
    if (server != null && !server.evacuating) {
      server.setEvacuating(true);
      server.evacuatingSinceMs = now.steadyMs();
    }
  }

  static void advance(Plan plan, Now now) {
    MaintenanceOrderRules.removeObsolete(plan, now);
    plan.machines.orders.all().forEach(order -> evacuate(plan, order.server, now));
    boolean needsList = plan.waves.values().stream().anyMatch(Wave::needsList);
    if (!needsList || !plan.mayIssueOrders(now)) {
      return;
    }
    plan.machines.requestList(plan, now);
    if (plan.machines.hasList && plan.serverListComplete) {
      plan.waves.values().stream().filter(w -> !w.completed).forEach(w -> advance(plan, w, now));
    }
  }

  /**
   * Advances one wave: orders the maintenance of empty machines and begins to empty more of them.
   */
  private static void advance(Plan plan, Wave wave, Now now) {
    if (!wave.startReported) {
      wave.startReported = true;
      plan.emit(new PlanEffect.TellWave(wave.order.number(), false, plan.epoch));
    }
    List.copyOf(wave.emptying.keySet()).stream()
        .filter(m -> !wave.downSinceMs.containsKey(m) && !mayExist(plan, wave, m))
        .forEach(m -> cancelEmptying(plan, wave, m));
    List<String> remaining = remainingMachines(plan, wave);
    if (remaining.isEmpty()) {
      complete(plan, wave);
      return;
    }
    for (String machine : remaining) {
      if (wave.emptying.containsKey(machine) || wave.orders.containsKey(machine)) {
        orderIfEmpty(plan, wave, machine, now);
      }
    }
    chooseMachines(plan, wave, remaining, now);
  }

  /** Marks a wave as completed and reports it once its progress is stored. */
  private static void complete(Plan plan, Wave wave) {
    wave.completed = true;
    plan.logEvent("wave-completed", "wave", Integer.toString(wave.order.number()));
    plan.ledger.runOnceStored(
        (now, out) -> out.accept(new PlanEffect.TellWave(wave.order.number(), true, plan.epoch)));
  }

  /** Returns the machines of a wave whose maintenance has not begun. */
  private static List<String> remainingMachines(Plan plan, Wave wave) {
    Set<String> begun = plan.machines.maintenanceBegun(wave.order.number());
    return wave.order.machines().stream()
        .filter(m -> !begun.contains(m) && !wave.rejected.contains(m))
        .filter(m -> mayExist(plan, wave, m))
        .toList();
  }

  /**
   * Returns whether a machine still exists. One that is being moved may be missing from the list.
   */
  private static boolean mayExist(Plan plan, Wave wave, String machine) {
    return plan.machines.byName.containsKey(machine)
        || wave.orders.containsKey(machine)
        || plan.moves.isMoving(machine);
  }

  /** Orders the maintenance of a machine if no task is left on it. */
  private static void orderIfEmpty(Plan plan, Wave wave, String machine, Now now) {
    if (isEmpty(plan, wave, machine, now)) {
      MaintenanceOrderRules.order(plan, wave, machine, now);
    }
  }

  /**
   * Returns whether no task is left on a machine that is being emptied.
   *
   * <p>Checks the backend server that runs on the machine now, which may be a later one. A list
   * that was requested before the machine was last moved, or that shows the machine out of service,
   * proves nothing: the next backend server on it may have tasks already.
   */
  private static boolean isEmpty(Plan plan, Wave wave, String machine, Now now) {
    MachineEntry entry = plan.machines.byName.get(machine);
    if (entry != null && !entry.serverId().equals(wave.emptying.get(machine))) {
      beginEmptying(plan, wave, entry, now);
    }
    Server server = plan.servers.get(wave.emptying.getOrDefault(machine, ""));
    if (server == null) {
      boolean listIsCurrent = plan.machines.reflects(plan.moves.lastMovedMs(machine));
      return entry == null || (listIsCurrent && entry.up() && entry.serverId().isEmpty());
    }
    evacuate(plan, server.entry.id(), now);
    return server.tasks.isEmpty() && server.answered;
  }

  /**
   * Begins to empty as many machines as the wave and their pools allow, those with the fewest tasks
   * first.
   */
  private static void chooseMachines(Plan plan, Wave wave, List<String> remaining, Now now) {
    boolean late = isLate(wave, remaining, now);
    List<MachineEntry> candidates =
        remaining.stream()
            .filter(m -> !wave.emptying.containsKey(m) && !plan.moves.isMoving(m))
            .map(m -> Optional.ofNullable(plan.machines.byName.get(m)))
            .flatMap(Optional::stream)
            .filter(MachineEntry::up)
            .sorted(Comparator.comparingInt(m -> taskCount(plan, m)))
            .toList();
    for (MachineEntry machine : candidates) {
      if (wave.unavailableCount(plan.machines.byName) >= wave.order.maxParallel()) {
        return;
      }
      boolean poolCanSpare = late || !plan.moves.shortServices.contains(machine.service());
      if (poolCanSpare && poolAllows(plan, machine, late)) {
        beginEmptying(plan, wave, machine, now);
      }
    }
  }

  /** Returns whether the wave would miss its deadline with one round of machines to spare. */
  private static boolean isLate(Wave wave, List<String> remaining, Now now) {
    long rounds =
        (remaining.size() + wave.order.maxParallel() - 1) / Math.max(1, wave.order.maxParallel());
    return now.steadyMs() + (rounds + 1) * MACHINE_CYCLE_MS > wave.deadlineMs;
  }

  private static int taskCount(Plan plan, MachineEntry machine) {
    Server server = plan.servers.get(machine.serverId());
    return server == null ? 0 : server.tasks.size();
  }

  /** Returns whether another machine of a pool may be away for waves. */
  private static boolean poolAllows(Plan plan, MachineEntry machine, boolean late) {
    List<Server> pool = List.copyOf(plan.servers.ofService(machine.service()));
    long available = pool.stream().filter(Maintenance::isAvailable).count();
    boolean busy =
        plan.openJobs.ofService(machine.service()).stream().anyMatch(j -> !j.spec.lasting());
    long total =
        plan.machines.byName.values().stream()
            .filter(m -> m.service().equals(machine.service()))
            .count();
    long maxUnavailable =
        Math.max(1, total / (busy && !late ? BUSY_POOL_DIVISOR : IDLE_POOL_DIVISOR));
    return total - available < maxUnavailable || (pool.isEmpty() && total > 0);
  }

  /** Returns whether a backend server takes part in its pool's work. */
  private static boolean isAvailable(Server server) {
    return server.answered
        && server.unresponsiveSinceMs == 0
        && !server.evacuating
        && !server.unlisted;
  }

  /** Begins to empty a machine: evacuates its backend server. */
  private static void beginEmptying(Plan plan, Wave wave, MachineEntry machine, Now now) {
    wave.emptying.put(machine.name(), machine.serverId());
    evacuate(plan, machine.serverId(), now);
    plan.logEvent(
        "machine-emptying",
        "wave",
        Integer.toString(wave.order.number()),
        "machine",
        machine.name(),
        "server",
        machine.serverId());
  }

  /** Returns whether the machine of a backend server is in an open wave and not yet maintained. */
  static boolean awaitsMaintenance(Plan plan, Server server) {
    return plan.waves.values().stream()
        .filter(w -> !w.completed)
        .anyMatch(w -> isPending(plan, w, server.entry.id()));
  }

  /** Returns whether the machine of a backend server is in a wave and not yet maintained. */
  private static boolean isPending(Plan plan, Wave wave, String server) {
    MachineEntry machine = plan.machines.byServer.get(server);
    return machine != null
        && wave.machines.contains(machine.name())
        && !plan.machines.maintenanceBegun(wave.order.number()).contains(machine.name());
  }
}
