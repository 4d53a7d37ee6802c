package dev.toucanstall.core.plan;

import dev.toucanstall.core.lease.LeaseBound;
import java.util.List;

/**
 * The planner's reducer over all its events.
 *
 * <p>It does no I/O and reads no clock. The calling thread owns the state.
 */
public final class PlanReducer {

  /**
   * Longest time from the store's last confirmation of a planner's epoch to the end of a lease that
   * the planner gives, in milliseconds. A successor waits for it before it starts the tasks of a
   * backend server again that it can't reach.
   */
  public static final long LEASE_HORIZON_MS = 6_300;

  /**
   * The same during an outage of the store for all entry instances that the planner knows of, in
   * milliseconds. No successor can be elected then, and the runs should outlive the outage.
   */
  public static final long OUTAGE_LEASE_HORIZON_MS = LeaseBound.MAX_LEASE_MS;

  /**
   * Time within which a start must be carried out, in milliseconds of the backend server's clock.
   */
  static final long START_DEADLINE_MS = 2_500;

  /**
   * Maximum time since the store last confirmed this planner's epoch, in milliseconds; an older
   * confirmation does not permit starts of runs or changes of machines.
   */
  static final long START_PERMISSION_MS = 2_500;

  private PlanReducer() {}

  /**
   * Decides on an event.
   *
   * @param plan the state, changed in place
   * @param event the event
   * @param now time of the event
   * @return the effects to carry out, in order
   */
  public static List<PlanEffect> reduce(Plan plan, PlanEvent event, Now now) {
    switch (event) {
      case PlanEvent.Tick tick -> JobRules.sweep(plan, now);
      case PlanEvent.Called called -> CallRules.decide(plan, called, now);
      case PlanEvent.CatalogChanged changed -> JobRules.catalogChanged(plan, changed.catalog());
      case PlanEvent.Appended appended -> {
        plan.ledger.appendEnded(appended, now, plan.emitter());
        plan.ledger.takeUnstorable().forEach(r -> JobRules.recordUnstorable(plan, r, now));
      }
      case PlanEvent.ServersRead read -> ServerRules.serversRead(plan, read, now);
      case PlanEvent.Held held -> LeaseRenewalRules.renewalEnded(plan, held, now);
      case PlanEvent.Started started -> OrderResultRules.started(plan, started, now);
      case PlanEvent.Stopped stopped -> OrderResultRules.stopped(plan, stopped, now);
      case PlanEvent.WaveOrdered ordered -> Maintenance.waveOrdered(plan, ordered.order(), now);
      case PlanEvent.MachinesRead read -> Maintenance.machinesRead(plan, read, now);
      case PlanEvent.MachinesUnknown unknown -> Maintenance.machinesUnknown(plan, unknown, now);
      case PlanEvent.Maintained maintained -> MaintenanceOrderRules.ended(plan, maintained, now);
      case PlanEvent.Moved moved -> PoolRebalancing.moveEnded(plan, moved, now);
    }
    plan.probe.done(PassProbe.Part.EVENT);
    if (plan.passDue(now)) {
      pass(plan, now);
    }
    plan.formerClocks.store(plan.ledger);
    plan.unaccountedStarts.store(plan.ledger);
    plan.ledger.flush(now, plan.emitter());
    plan.probe.done(PassProbe.Part.STORING);
    return plan.takeEffects();
  }

  /** Makes a pass over the queues, backend servers and machines that may need a decision. */
  private static void pass(Plan plan, Now now) {
    plan.orders.advance(now);
    plan.formerClocks.dropExpired(now);
    plan.unaccountedStarts.dropExpired(now);
    plan.servicesToPlace.addAll(plan.openJobs.createDue(now.wallMs()));
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
