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
  private static final long LIST_MS = 600;

  /** Machines of the newest list by name, empty until the first list. */
  Map<String, MachineEntry> listed = new HashMap<>();

  /** Machines of the newest list by the id of the backend server that runs on them. */
  Map<String, MachineEntry> byServer = new HashMap<>();

  /** Home pool of each machine by its name: the pool in which it was first listed. */
  private final Map<String, String> homes = new HashMap<>();

  /** Whether a list has been read. */
  boolean known;

  /** Time at which the newest list was requested, in milliseconds of the steady clock. */
  private long listedMs;

  /** Whether a request for a list is under way. */
  private boolean asking;

  /** Earliest time of the next request for a list, in milliseconds of the steady clock. */
  private long askAfterMs;

  /** Names of the machines whose maintenance has begun, by the number of the wave. */
  private final Map<Integer, Set<String>> begun = new HashMap<>();

  /**
   * Returns the names of the machines of a wave whose maintenance has begun, to be changed in
   * place.
   */
  Set<String> begun(int wave) {
    return begun.computeIfAbsent(wave, n -> new LinkedHashSet<>());
  }

  /** Requests a new list, unless one is under way or has just arrived. */
  void ask(Plan plan, Now now) {
    if (!asking && now.steadyMs() >= askAfterMs) {
      asking = true;
      plan.emit(new PlanEffect.ListMachines());
    }
  }

  /**
   * Takes over a new list.
   *
   * @param machines all machines
   * @param askedMs time of the request, in milliseconds of the steady clock
   * @param now time of the event
   */
  void read(List<MachineEntry> machines, long askedMs, Now now) {
    answered(now);
    known = true;
    listedMs = askedMs;
    listed = index(machines, MachineEntry::name);
    byServer = index(machines, MachineEntry::serverId);
    machines.forEach(m -> homes.putIfAbsent(m.name(), m.service()));
  }

  /** Tells whether a machine is in its home pool. */
  boolean atHome(MachineEntry machine) {
    return machine.service().equals(homes.get(machine.name()));
  }

  /**
   * Tells whether the newest list was requested after a time, so that it reflects earlier events.
   */
  boolean shows(long atMs) {
    return listedMs > atMs;
  }

  /** Marks a request for a list as over, successful or not. */
  void answered(Now now) {
    asking = false;
    askAfterMs = now.steadyMs() + LIST_MS;
  }

  /** Indexes machines by a key. The last machine with the same key wins. */
  private static Map<String, MachineEntry> index(
      List<MachineEntry> machines, Function<MachineEntry, String> key) {
    return machines.stream()
        .collect(Collectors.toMap(key, Function.identity(), (a, b) -> b, HashMap::new));
  }
}
