package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.JobRecord;
import java.util.List;
import java.util.Set;

/**
 * Decides when the orders to maintain empty machines are sent, and on their results.
 *
 * <p>An order is sent once its intent is stored, so that the next planner counts the machine as
 * away until the outcome is known.
 */
final class MaintenanceOrderRules {

  /** Pause before an order that had no effect is repeated, in milliseconds. */
  private static final long RETRY_PAUSE_MS = 500;

  private MaintenanceOrderRules() {}

  /** Restores the orders of earlier planners, which may yet be carried out. */
  static void restore(Plan plan, JobRecord.OpenMaintenance open, Now now) {
    for (JobRecord.MachineMaintenance recorded : open.orders()) {
      plan.machines.orders.restore(recorded, now);
      logOrder(
          plan, recorded.wave(), recorded.machine(), "an earlier planner may have sent an order");
    }
  }

  private static void logOrder(Plan plan, int wave, String machine, String reason) {
    plan.logEvent(
        "maintenance-ordered", "wave", Integer.toString(wave), "machine", machine, "why", reason);
  }

  /** Orders the maintenance of a machine on which no task is left, or sends the order again. */
  static void order(Plan plan, Wave wave, String machine, Now now) {
    MaintenanceOrders.Order order = wave.orders.get(machine);
    if (order == null) {
      add(plan, wave, machine);
    } else if (order.beginRequestIfDue(now)) {
      plan.emit(new PlanEffect.Maintain(order.wave, machine, plan.epoch));
    }
  }

  /** Adds an order; adds none while the record of open orders has no room for it. */
  private static void add(Plan plan, Wave wave, String machine) {
    MaintenanceOrders orders = plan.machines.orders;
    if (!orders.hasRoom(plan.storeLimits.recordBytes())) {
      return;
    }
    MaintenanceOrders.Order order =
        new MaintenanceOrders.Order(
            wave.order.number(), machine, wave.emptying.getOrDefault(machine, ""));
    orders.add(order);
    logOrder(plan, order.wave, machine, "no task is left on the machine");
    plan.ledger.addRecord(orders.openMaintenanceRecord());
    plan.ledger.runOnceStored((later, out) -> order.stored = true);
  }

  /** Handles the result of an order to maintain a machine. */
  static void ended(Plan plan, PlanEvent.Maintained event, Now now) {
    Wave wave = plan.waves.get(event.wave());
    MaintenanceOrders.Order order = wave == null ? null : wave.orders.get(event.machine());
    if (wave == null || order == null) {
      return;
    }
    order.requestEnded(RETRY_PAUSE_MS, now);
    plan.logEvent(
        "maintenance-answered",
        "wave",
        Integer.toString(event.wave()),
        "machine",
        order.machine,
        "result",
        event.result().name());
    switch (event.result()) {
      case BEGUN -> begun(plan, wave, order, now);
      case UNFIT -> {
        if (!order.mayStillApply(now)) {
          Maintenance.cancelEmptying(plan, wave, order.machine);
          Maintenance.endEvacuation(plan, order.server);
          wave.rejected.add(order.machine);
          plan.machines.orders.remove(order);
          plan.ledger.addRecord(plan.machines.orders.openMaintenanceRecord());
        }
      }
      case FENCED -> plan.emit(new PlanEffect.Resign("a machine has seen a higher fencing token"));
      case MAYBE -> order.unanswered(now);
      default -> {
        // The order is sent again after a pause.
      }
    }
  }

  /**
   * Handles maintenance that has begun, now or by an earlier request. In the second case the
   * backend server may be a later one that runs on: it gets no tasks until a list shows the machine
   * in service.
   */
  private static void begun(Plan plan, Wave wave, MaintenanceOrders.Order order, Now now) {
    if (!order.mayHaveBegun()) {
      endServer(plan, wave, order.machine, now);
    }
    wave.downSinceMs.put(order.machine, now.steadyMs());
    Set<String> begun = plan.machines.maintenanceBegun(order.wave);
    begun.add(order.machine);
    plan.ledger.addRecord(new JobRecord.WaveProgress(order.wave, List.copyOf(begun)));
    plan.machines.orders.remove(order);
    plan.ledger.addRecord(plan.machines.orders.openMaintenanceRecord());
  }

  /** Ends the backend server of a machine, because maintenance ends all processes on it. */
  private static void endServer(Plan plan, Wave wave, String machine, Now now) {
    String id = wave.emptying.remove(machine);
    Server server = id == null ? null : plan.servers.get(id);
    if (server != null) {
      ServerRules.incarnationEnded(
          plan, server, new RunEvidence(RunEvidence.Kind.MACHINE_MAINTAINED, now.steadyMs()), now);
    }
  }

  /**
   * Removes the orders of earlier planners that need no answer: their maintenance has begun, or no
   * wave that this planner knows of has the machine and they can't be carried out any more.
   */
  static void removeObsolete(Plan plan, Now now) {
    List<MaintenanceOrders.Order> removed =
        plan.machines.orders.removeIf(order -> isObsolete(plan, order, now));
    if (!removed.isEmpty()) {
      for (MaintenanceOrders.Order order : removed) {
        Maintenance.endEvacuation(plan, order.server);
        plan.logEvent(
            "maintenance-order-obsolete",
            "wave",
            Integer.toString(order.wave),
            "machine",
            order.machine);
      }
      plan.ledger.addRecord(plan.machines.orders.openMaintenanceRecord());
    }
  }

  private static boolean isObsolete(Plan plan, MaintenanceOrders.Order order, Now now) {
    Wave wave = plan.waves.get(order.wave);
    boolean inWave = wave != null && wave.machines.contains(order.machine);
    return plan.machines.maintenanceBegun(order.wave).contains(order.machine)
        || (!inWave && !order.mayStillApply(now));
  }
}
