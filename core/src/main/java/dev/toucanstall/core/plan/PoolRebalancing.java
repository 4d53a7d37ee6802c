package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.MachineEntry;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Decides which machines change their pool.
 *
 * <p>Machines move to a service whose queues need more than its pool has, and to a spare pool,
 * where they are switched off, once no service needs them. Only machines without tasks are moved.
 */
final class PoolRebalancing {

  /** Time between two rebalances, in milliseconds. */
  private static final long REBALANCE_INTERVAL_MS = 100;

  /** Time after which a moved machine is no longer expected in its new pool, in milliseconds. */
  private static final long MAX_ARRIVAL_MS = 4_000;

  /** Pause before an order that had no effect or no answer is sent again, in milliseconds. */
  private static final long RETRY_PAUSE_MS = 400;

  /** Pause before the next order for a machine that was or could not be moved, in milliseconds. */
  private static final long ORDER_PAUSE_MS = 2_000;

  /**
   * Time for which a backend server must be idle before its machine is switched off, in
   * milliseconds.
   */
  private static final long MIN_IDLE_MS = 1_200;

  /**
   * Time for which a backend server must be idle before its machine is switched off in its home
   * pool, in milliseconds. Bringing a machine back takes seconds of a surge, which cost more than
   * an idle machine.
   */
  private static final long MIN_HOME_IDLE_MS = 30_000;

  /**
   * Time for which a backend server must be idle before its machine is switched off in a pool
   * without any known job, in milliseconds.
   */
  private static final long MIN_UNUSED_IDLE_MS = 60_000;

  /**
   * Time for which a new planner switches no machine off, because it must first learn what runs, in
   * milliseconds.
   */
  private static final long LEARNING_MS = 1_500;

  /** Number of machines beyond its need that a pool retains when others are switched off. */
  private static final int RESERVE = 1;

  private PoolRebalancing() {}

  /** Sends the orders that are due, and rebalances the pools if a rebalance is due. */
  static void advance(Plan plan, Now now) {
    if (!plan.mayIssueOrders(now)) {
      return;
    }
    List.copyOf(plan.moves.open.values()).forEach(move -> sendIfDue(plan, move, now));
    if (now.steadyMs() < plan.moves.nextRebalanceMs) {
      return;
    }
    plan.moves.nextRebalanceMs = now.steadyMs() + REBALANCE_INTERVAL_MS;
    plan.servers.values().forEach(s -> s.updateLastUsed(now.steadyMs()));
    if (!plan.serverListComplete) {
      return;
    }
    List<Pool> pools = pools(plan, now);
    plan.moves.shortServices =
        pools.stream().filter(p -> p.surplus() < 0).map(p -> p.service).collect(Collectors.toSet());
    if (needsList(plan, pools)) {
      plan.machines.requestList(plan, now);
    }
    if (!plan.machines.hasList) {
      return;
    }
    pools.forEach(pool -> fill(plan, pool, pools, now));
    if (now.steadyMs() - plan.termStartMs >= LEARNING_MS) {
      pools.forEach(pool -> switchOffIdle(plan, pool, now));
    }
  }

  /** Returns whether the newest list of machines may no longer show where each machine is. */
  private static boolean needsList(Plan plan, List<Pool> pools) {
    return !plan.machines.hasList
        || !plan.machines.reflects(plan.moves.newestMoveMs())
        || plan.machines.byName.values().stream().anyMatch(m -> isSwitchedOff(plan, m) && !m.up())
        || pools.stream().anyMatch(Pool::hasUnlistedMachine);
  }

  /** Returns whether a machine is in a spare pool, whose machines are switched off. */
  private static boolean isSwitchedOff(Plan plan, MachineEntry machine) {
    return plan.catalog.sparePools().contains(machine.service());
  }

  /** Returns the pools of all services with queues, the pool with the largest shortage first. */
  private static List<Pool> pools(Plan plan, Now now) {
    Set<String> services =
        plan.catalog.queuesByName().values().stream()
            .map(q -> q.service())
            .collect(Collectors.toSet());
    return services.stream()
        .filter(service -> !plan.catalog.sparePools().contains(service))
        .map(service -> new Pool(plan, service, now))
        .sorted(Comparator.comparingInt(Pool::surplus).thenComparing(pool -> pool.service))
        .toList();
  }

  /** Orders machines to a pool until it is short of none or no machine is available. */
  private static void fill(Plan plan, Pool pool, List<Pool> pools, Now now) {
    while (pool.surplus() < 0) {
      Optional<Source> source = findSource(plan, pool, pools, now);
      if (source.isEmpty()) {
        return;
      }
      source.get().onTaken().run();
      pool.machineCount++;
      addOrder(plan, source.get().machine(), pool.service, "the queues of the pool need it");
    }
  }

  /**
   * Machine that may be moved.
   *
   * @param machine the machine
   * @param onTaken updates the pool that gives the machine away
   */
  private record Source(MachineEntry machine, Runnable onTaken) {}

  /**
   * Returns the machine to move to a pool, or empty if there is none.
   *
   * <p>Machines that are switched off come first, then idle machines of pools with a surplus, those
   * outside their home pool first.
   */
  private static Optional<Source> findSource(Plan plan, Pool to, List<Pool> pools, Now now) {
    Stream<Source> idle =
        pools.stream()
            .filter(from -> from != to && from.canGive(0))
            .sorted(Comparator.comparingInt(from -> -from.surplus()))
            .flatMap(
                from ->
                    from.idleMachines(now, 0).map(m -> new Source(m, () -> from.machineCount--)))
            .sorted(Comparator.comparing(s -> plan.machines.isInHomePool(s.machine())));
    Stream<Source> switchedOff =
        plan.machines.byName.values().stream()
            .filter(m -> isSwitchedOff(plan, m))
            .map(m -> new Source(m, () -> {}));
    Predicate<Source> movable = s -> movable(plan, s.machine(), to.service, now);
    return Stream.concat(switchedOff, idle).filter(movable).findFirst();
  }

  /**
   * Returns whether a machine may be ordered to a service's pool. A machine that is being moved, or
   * that no list has shown since its last move, may not.
   */
  private static boolean movable(Plan plan, MachineEntry machine, String service, Now now) {
    String name = machine.name();
    return machine.up()
        && plan.machines.reflects(plan.moves.lastMovedMs(name))
        && !plan.moves.isMoving(name)
        && now.steadyMs() >= plan.moves.nextOrderMs.getOrDefault(name, 0L)
        && plan.moves.fits(name, service)
        && !plan.machines.orders.contains(name)
        && plan.waves.values().stream().noneMatch(w -> w.handles(name));
  }

  /**
   * Orders machines that a pool has not needed for a while to a spare pool, where they are switched
   * off.
   */
  private static void switchOffIdle(Plan plan, Pool pool, Now now) {
    Optional<String> sparePool = plan.catalog.sparePools().stream().sorted().findFirst();
    if (sparePool.isEmpty()) {
      return;
    }
    boolean unused =
        !plan.arrivals.hasArrivals(pool.service) && plan.openJobs.ofService(pool.service).isEmpty();
    List<MachineEntry> idle =
        pool.idleMachines(now, MIN_IDLE_MS)
            .filter(m -> pool.idleMs(m, now) >= requiredIdleMs(plan, m, unused))
            .filter(m -> movable(plan, m, sparePool.get(), now))
            .toList();
    for (MachineEntry machine : idle) {
      if (pool.canGive(RESERVE)) {
        pool.machineCount--;
        addOrder(plan, machine, sparePool.get(), "the queues of the pool do not need it");
      }
    }
  }

  /** Returns how long a machine must be idle before it is switched off, in milliseconds. */
  private static long requiredIdleMs(Plan plan, MachineEntry machine, boolean unused) {
    return unused
        ? MIN_UNUSED_IDLE_MS
        : plan.machines.isInHomePool(machine) ? MIN_HOME_IDLE_MS : MIN_IDLE_MS;
  }

  /**
   * Adds an order to move a machine, which is sent once the intent is stored; adds none while the
   * record of open orders has no room for it.
   */
  private static void addOrder(Plan plan, MachineEntry machine, String service, String reason) {
    if (!plan.moves.hasRoom(plan.storeLimits.recordBytes())) {
      return;
    }
    Server server = plan.servers.get(machine.serverId());
    if (server != null) {
      server.moving = true;
    }
    MachineMoves.Move move = new MachineMoves.Move(machine.name(), service, machine.serverId());
    plan.moves.open.put(machine.name(), move);
    plan.logEvent(
        "machine-moving",
        "machine",
        machine.name(),
        "from",
        machine.service(),
        "to",
        service,
        "why",
        reason);
    plan.ledger.addRecord(plan.moves.openMovesRecord());
    plan.ledger.runOnceStored((later, out) -> move.stored = true);
  }

  /** Sends an order if it is stored, not under way and not paused. */
  private static void sendIfDue(Plan plan, MachineMoves.Move move, Now now) {
    if (move.beginRequestIfDue(now)) {
      plan.emit(new PlanEffect.Move(move.machine, move.service, plan.epoch));
    }
  }

  /** Handles the result of an order to move a machine. */
  static void moveEnded(Plan plan, PlanEvent.Moved event, Now now) {
    MachineMoves.Move move = plan.moves.open.get(event.machine());
    if (move == null || !move.service.equals(event.service())) {
      return;
    }
    move.requestEnded(RETRY_PAUSE_MS, now);
    plan.logEvent("machine-moved", "machine", move.machine, "result", event.result().name());
    switch (event.result()) {
      case BEGUN -> moveBegun(plan, move, now);
      case FENCED -> plan.emit(new PlanEffect.Resign("a machine has seen a higher fencing token"));
      case MAYBE -> move.unanswered(now);
      case UNFIT -> {
        plan.moves.markUnfit(move.machine, move.service);
        abandon(plan, move, now);
      }
      default -> {
        if (!move.mayStillApply(now)) {
          abandon(plan, move, now);
        }
      }
    }
  }

  /**
   * Handles a move that has begun: the backend server ends, and the machine is expected in its new
   * pool.
   */
  private static void moveBegun(Plan plan, MachineMoves.Move move, Now now) {
    close(plan, move, now);
    Server server = plan.servers.get(move.server);
    if (server != null) {
      ServerRules.incarnationEnded(
          plan, server, new RunEvidence(RunEvidence.Kind.MACHINE_MOVED, now.steadyMs()), now);
    }
    plan.moves.recordMove(move.machine, now.steadyMs());
    plan.machines.byName.put(move.machine, new MachineEntry(move.machine, move.service, false, ""));
    if (!plan.catalog.sparePools().contains(move.service)) {
      plan.moves.expect(move.machine, move.service, now.steadyMs() + MAX_ARRIVAL_MS);
    }
  }

  /** Abandons an order that was not and will not be carried out. */
  private static void abandon(Plan plan, MachineMoves.Move move, Now now) {
    close(plan, move, now);
    Server server = plan.servers.get(move.server);
    if (server != null) {
      server.moving = false;
      plan.markForPlacement(server);
    }
  }

  /** Removes an order and pauses further orders for its machine. */
  private static void close(Plan plan, MachineMoves.Move move, Now now) {
    plan.moves.open.remove(move.machine);
    plan.ledger.addRecord(plan.moves.openMovesRecord());
    long pauseMs = move.mayHaveBegun() ? MachineOrder.MAX_DELAY_MS : ORDER_PAUSE_MS;
    plan.moves.nextOrderMs.put(move.machine, now.steadyMs() + pauseMs);
  }
}
