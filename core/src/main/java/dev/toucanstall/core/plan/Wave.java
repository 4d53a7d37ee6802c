package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.MachineEntry;
import dev.toucanstall.core.job.WaveOrder;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** A maintenance wave. Owned by the control thread. */
final class Wave {

  final WaveOrder order;
  final long dueMs;

  /** The machines to be maintained. */
  final Set<String> machines;

  /** Machines that are being emptied, with the backend server that runs there. */
  final Map<String, String> emptying = new HashMap<>();

  /** Machines whose order is under way or may have been carried out. */
  final Set<String> ordered = new HashSet<>();

  /** Machines that are down, with when that was ordered. */
  final Map<String, Long> down = new HashMap<>();

  /** Machines that the platform says are not of this wave or do not exist. */
  final Set<String> foreign = new HashSet<>();

  /** Earliest time of the next order for a machine. */
  final Map<String, Long> retryAfterMs = new HashMap<>();

  boolean completed;
  boolean told;

  Wave(WaveOrder order, long nowMs) {
    this.order = order;
    this.machines = Set.copyOf(order.machines());
    this.dueMs = nowMs + order.durationMs();
  }

  /** Tells whether a machine is being emptied or maintained. */
  boolean handles(String machine) {
    return emptying.containsKey(machine) || ordered.contains(machine) || down.containsKey(machine);
  }

  /** Counts the machines that are away, also those that an earlier planner has had maintained. */
  int away(Map<String, MachineEntry> listed) {
    Set<String> away = new HashSet<>(emptying.keySet());
    away.addAll(ordered);
    away.addAll(down.keySet());
    order.machines().stream()
        .filter(m -> listed.containsKey(m) && !listed.get(m).up())
        .forEach(away::add);
    return away.size();
  }
}
