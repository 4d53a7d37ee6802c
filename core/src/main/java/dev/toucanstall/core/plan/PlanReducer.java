package dev.toucanstall.core.plan;

import java.util.List;

/**
 * The planner's one reducer over all its events. It does no I/O and reads no clock; the state is
 * owned by the calling thread.
 */
public final class PlanReducer {

  /** Length of a lease in milliseconds on the backend server's clock. */
  static final long LEASE_MS = 6_000;

  /** Latest time for a start to be carried out, in milliseconds on the backend server's clock. */
  static final long START_MS = 2_500;

  /** A planner that the store has not confirmed for this long starts nothing, in milliseconds. */
  static final long START_PERMISSION_MS = 2_500;

  /** A planner that the store has not confirmed for this long renews no lease, in milliseconds. */
  static final long HOLD_PERMISSION_MS = 4_000;

  private PlanReducer() {}

  /**
   * Decides on an event.
   *
   * @param plan the state, changed in place
   * @param event the event
   * @param now the time
   * @return what is to be carried out, in order
   */
  public static List<PlanEffect> reduce(Plan plan, PlanEvent event, Now now) {
    switch (event) {
      case PlanEvent.Tick tick -> JobRules.sweep(plan, now);
      case PlanEvent.Called called -> CallRules.decide(plan, called, now);
      case PlanEvent.CatalogChanged changed -> JobRules.catalogChanged(plan, changed.catalog());
      case PlanEvent.Appended appended -> plan.ledger.appended(appended, now, plan.emitter());
      case PlanEvent.ServersRead read -> ServerRules.read(plan, read, now);
      case PlanEvent.Held held -> HoldRules.held(plan, held, now);
      case PlanEvent.Started started -> OrderRules.started(plan, started, now);
      case PlanEvent.Stopped stopped -> OrderRules.stopped(plan, stopped, now);
      case PlanEvent.WaveOrdered ordered -> Maintenance.ordered(plan, ordered.order(), now);
      case PlanEvent.MachinesRead read -> Maintenance.machinesRead(plan, read, now);
      case PlanEvent.MachinesUnknown unknown -> Maintenance.machinesUnknown(plan, unknown, now);
      case PlanEvent.Maintained maintained -> Maintenance.maintained(plan, maintained, now);
      case PlanEvent.Moved moved -> PoolRebalancing.moved(plan, moved, now);
    }
    plan.probe.done(PassProbe.Part.EVENT);
    if (plan.passDue(now)) {
      pass(plan, now);
    }
    plan.ledger.flush(now, plan.emitter());
    plan.probe.done(PassProbe.Part.STORING);
    return plan.takeEffects();
  }

  /** Looks at all queues and backend servers that have changed. */
  private static void pass(Plan plan, Now now) {
    Maintenance.advance(plan, now);
    plan.probe.done(PassProbe.Part.MAINTENANCE);
    Evacuation.advance(plan, now);
    plan.probe.done(PassProbe.Part.EVACUATION);
    Placement.place(plan, now);
    plan.probe.done(PassProbe.Part.PLACEMENT);
    PoolRebalancing.advance(plan, now);
    plan.probe.done(PassProbe.Part.MOVES);
    ServerRules.renewLeases(plan, now);
    plan.probe.done(PassProbe.Part.LEASES);
  }
}
