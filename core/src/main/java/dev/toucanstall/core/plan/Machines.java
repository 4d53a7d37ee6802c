package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.MachineEntry;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * The platform's machines as last listed, and the maintenance that has begun. Owned by the control
 * thread.
 */
final class Machines {

  /** Time between two lists of machines, in milliseconds. */
  private static final long LIST_INTERVAL_MS = 600;

  /** Machines of the newest list by name, empty until the first list. */
  Map<String, MachineEntry> byName = new HashMap<>();

  /** Machines of the newest list by the id of the backend server that runs on them. */
  Map<String, MachineEntry> byServer = new HashMap<>();

  /** Home pool of each machine by its name: the pool in which it was first listed. */
  private final Map<String, String> homePools = new HashMap<>();

  /** Whether a list has been read. */
  boolean hasList;

  /** Time at which the newest list was requested, in milliseconds of the monotonic clock. */
  private long listRequestedMs;

  /** Whether a request for a list is under way. */
  private boolean listPending;

  /** Earliest time of the next request for a list, in milliseconds of the monotonic clock. */
  private long nextListMs;

  /** Names of the machines whose maintenance has begun, by the number of the wave. */
  private final Map<Integer, Set<String>> maintenanceBegun = new HashMap<>();

  /** Orders to maintain machines whose outcome is not final. */
  final MaintenanceOrders orders = new MaintenanceOrders();

  /**
   * Returns the names of the machines of a wave whose maintenance has begun, to be changed in
   * place.
   */
  Set<String> maintenanceBegun(int wave) {
    return maintenanceBegun.computeIfAbsent(wave, n -> new LinkedHashSet<>());
  }

  /** Requests a new list, unless one is under way or has just arrived. */
  void requestList(Plan plan, Now now) {
    if (!listPending && now.steadyMs() >= nextListMs) {
      listPending = true;
      plan.emit(new PlanEffect.ListMachines());
    }
  }

  /**
   * Takes over a new list.
   *
   * @param machines all machines
   * @param requestedMs time of the request, in milliseconds of the monotonic clock
   * @param now time of the event
   */
  void applyList(List<MachineEntry> machines, long requestedMs, Now now) {
    listEnded(now);
    hasList = true;
    listRequestedMs = requestedMs;
    byName = index(machines, MachineEntry::name);
    byServer = index(machines, MachineEntry::serverId);
    machines.forEach(m -> homePools.putIfAbsent(m.name(), m.service()));
  }

  boolean isInHomePool(MachineEntry machine) {
    return machine.service().equals(homePools.get(machine.name()));
  }

  /**
   * Returns whether the newest list was requested after a time, so that it reflects earlier events.
   */
  boolean reflects(long atMs) {
    return listRequestedMs > atMs;
  }

  /** Marks a request for a list as over, successful or not. */
  void listEnded(Now now) {
    listPending = false;
    nextListMs = now.steadyMs() + LIST_INTERVAL_MS;
  }

  /** Indexes machines by a key. The last machine with the same key wins. */
  private static Map<String, MachineEntry> index(
      List<MachineEntry> machines, Function<MachineEntry, String> key) {
    return machines.stream()
        .collect(Collectors.toMap(key, Function.identity(), (a, b) -> b, HashMap::new));
  }
}
