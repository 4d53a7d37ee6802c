package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.MachineEntry;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

/** What is known of the platform's machines. Owned by the control thread. */
final class Machines {

  /** Time between two lists of machines, in milliseconds. */
  private static final long LIST_MS = 600;

  /** Newest list by name; empty until the first list. */
  Map<String, MachineEntry> listed = new HashMap<>();

  /** The same by the id of the backend server that runs on the machine. */
  Map<String, MachineEntry> byServer = new HashMap<>();

  /** The pool in which each machine was first listed. */
  private final Map<String, String> homes = new HashMap<>();

  boolean known;

  /** When the newest list was asked for, steady milliseconds. */
  private long listedMs;

  private boolean asking;
  private long askAfterMs;

  /** Machines whose maintenance has begun, by wave. */
  private final Map<Integer, Set<String>> begun = new HashMap<>();

  Set<String> begun(int wave) {
    return begun.computeIfAbsent(wave, n -> new LinkedHashSet<>());
  }

  /** Asks for a new list, unless one is under way or has just come. */
  void ask(Plan plan, Now now) {
    if (!asking && now.steadyMs() >= askAfterMs) {
      asking = true;
      plan.emit(new PlanEffect.ListMachines());
    }
  }

  void read(List<MachineEntry> machines, long askedMs, Now now) {
    answered(now);
    known = true;
    listedMs = askedMs;
    listed = index(machines, MachineEntry::name);
    byServer = index(machines, MachineEntry::serverId);
    machines.forEach(m -> homes.putIfAbsent(m.name(), m.service()));
  }

  /** Tells whether a machine is in the pool in which it was first listed. */
  boolean atHome(MachineEntry machine) {
    return machine.service().equals(homes.get(machine.name()));
  }

  /** Tells whether the newest list shows what was so at a time. */
  boolean shows(long atMs) {
    return listedMs > atMs;
  }

  /** A list has come, or could not be had. */
  void answered(Now now) {
    asking = false;
    askAfterMs = now.steadyMs() + LIST_MS;
  }

  private static Map<String, MachineEntry> index(
      List<MachineEntry> machines, Function<MachineEntry, String> key) {
    return machines.stream()
        .collect(Collectors.toMap(key, Function.identity(), (a, b) -> b, HashMap::new));
  }
}
