package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.MachineEntry;
import dev.toucanstall.core.job.WaveOrder;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Maintenance wave: an operator's order to maintain machines, and its progress. Owned by the
 * control thread.
 */
final class Wave {

  final WaveOrder order;

  /** Time by which the wave should be completed, in milliseconds of the monotonic clock. */
  final long deadlineMs;

  final Set<String> machines;

  /**
   * Ids of the backend servers that are being emptied, by the name of their machine; empty if no
   * backend server runs on the machine.
   */
  final Map<String, String> emptying = new HashMap<>();

  /** Orders whose outcome is not final by the name of the machine. */
  final Map<String, MaintenanceOrders.Order> orders;

  /**
   * Time at which the maintenance of each machine that is down began, by its name, in milliseconds
   * of the monotonic clock.
   */
  final Map<String, Long> downSinceMs = new HashMap<>();

  /**
   * Names of the machines that the platform has rejected because they do not exist or are not part
   * of the wave.
   */
  final Set<String> rejected = new HashSet<>();

  /** Whether the maintenance of every machine that still exists has begun. */
  boolean completed;

  /** Whether the start of the wave was reported to the operators. */
  boolean startReported;

  /**
   * Creates a wave.
   *
   * @param order the operator's order
   * @param orders orders for machines of the wave, kept up to date by the owner
   * @param nowMs time of the event, in milliseconds of the monotonic clock
   */
  Wave(WaveOrder order, Map<String, MaintenanceOrders.Order> orders, long nowMs) {
    this.orders = orders;
    this.order = order;
    this.machines = Set.copyOf(order.machines());
    this.deadlineMs = nowMs + order.durationMs();
  }

  /** Returns whether a machine is being emptied or maintained. */
  boolean handles(String machine) {
    return emptying.containsKey(machine)
        || orders.containsKey(machine)
        || downSinceMs.containsKey(machine);
  }

  /**
   * Returns whether a list of machines is needed: the wave is not completed, or a maintained
   * machine has a backend server that gets no tasks until a list shows the machine in service.
   */
  boolean needsList() {
    return !completed || emptying.keySet().stream().anyMatch(downSinceMs::containsKey);
  }

  /**
   * Counts the machines that are being emptied or maintained, also those whose maintenance an
   * earlier planner has ordered and which are down or may yet go down.
   *
   * @param machinesByName machines of the newest list by name
   */
  int unavailableCount(Map<String, MachineEntry> machinesByName) {
    Set<String> unavailable = new HashSet<>(emptying.keySet());
    unavailable.addAll(orders.keySet());
    unavailable.addAll(downSinceMs.keySet());
    order.machines().stream()
        .filter(m -> machinesByName.containsKey(m) && !machinesByName.get(m).up())
        .forEach(unavailable::add);
    return unavailable.size();
  }
}
