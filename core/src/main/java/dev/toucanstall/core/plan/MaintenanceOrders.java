package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.JobRecord;
import dev.toucanstall.core.job.JobRecord.MachineMaintenance;
import dev.toucanstall.core.job.RecordSize;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * Orders to maintain machines whose outcome is not final, also those of earlier planners. Owned by
 * the control thread.
 */
final class MaintenanceOrders {

  /** Largest size of an order in its record, in bytes. */
  private static final int MAX_ORDER_BYTES = 2_000;

  /** Order to maintain a machine for a wave, until its outcome is final. */
  static final class Order extends MachineOrder {

    /** Number of the wave. */
    final int wave;

    Order(int wave, String machine, String server) {
      super(machine, server);
      this.wave = wave;
    }
  }

  /** Orders by wave and by the name of the machine. */
  private final Map<Integer, Map<String, Order>> byWave = new LinkedHashMap<>();

  /** Restores an order of an earlier planner, which may yet be carried out. */
  void restore(MachineMaintenance recorded, Now now) {
    Order order = new Order(recorded.wave(), recorded.machine(), recorded.server());
    order.restored(now);
    add(order);
  }

  void add(Order order) {
    ofWave(order.wave).put(order.machine, order);
  }

  /** Returns the orders of a wave by the name of the machine, to be read only. */
  Map<String, Order> ofWave(int wave) {
    return byWave.computeIfAbsent(wave, n -> new LinkedHashMap<>());
  }

  /** Returns whether the maintenance of a machine is ordered for any wave. */
  boolean contains(String machine) {
    return byWave.values().stream().anyMatch(orders -> orders.containsKey(machine));
  }

  Stream<Order> all() {
    return byWave.values().stream().flatMap(orders -> orders.values().stream());
  }

  /** Removes an order whose outcome is final. */
  void remove(Order order) {
    ofWave(order.wave).remove(order.machine, order);
  }

  /** Removes the orders that match a condition and returns them. */
  List<Order> removeIf(Predicate<Order> condition) {
    List<Order> removed = new ArrayList<>(all().filter(condition).toList());
    removed.forEach(this::remove);
    return removed;
  }

  JobRecord.OpenMaintenance openMaintenanceRecord() {
    return new JobRecord.OpenMaintenance(
        all().map(o -> new MachineMaintenance(o.wave, o.machine, o.server)).toList());
  }

  /** Returns whether the record of the open orders has room for one more, as far as known. */
  boolean hasRoom(int recordBytes) {
    return RecordSize.maxBytes(openMaintenanceRecord()) + MAX_ORDER_BYTES <= recordBytes;
  }
}
