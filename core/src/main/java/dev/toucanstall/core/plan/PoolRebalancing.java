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
 * Decides which machines change their pool: to a service whose queues ask for more than its pool
 * holds, and to a spare pool once no service needs them. Only machines without tasks are moved.
 */
final class PoolRebalancing {

  /** Time between two looks at the pools, in milliseconds. */
  private static final long LOOK_MS = 100;

  /** Time until a moved machine is in service at the latest, in milliseconds. */
  private static final long ARRIVE_MS = 4_000;

  /** Pause before an order that had no effect or no answer is given again, in milliseconds. */
  private static final long RETRY_MS = 400;

  /** Pause after a machine could not be moved or has been moved, in milliseconds. */
  private static final long REST_MS = 2_000;

  /** Latest time for an order without an answer to be carried out, in milliseconds. */
  static final long LATE_ORDER_MS = 15_000;

  /** How long a backend server is without tasks before its machine is spared, in milliseconds. */
  private static final long IDLE_MS = 1_200;

  /**
   * The same for a machine in the pool that it was set up for: coming back takes seconds of a
   * surge, which are worth more than an idle machine costs.
   */
  private static final long HOME_IDLE_MS = 30_000;

  /** The same in a pool that no job has been known for, in milliseconds. */
  private static final long UNUSED_MS = 60_000;

  /** A new planner first learns what runs before it spares machines, in milliseconds. */
  private static final long SETTLE_MS = 1_500;

  /** Machines that a pool keeps beyond what it needs when others are spared. */
  private static final int RESERVE = 1;

  private PoolRebalancing() {}

  static void advance(Plan plan, Now now) {
    if (!plan.mayOrder(now)) {
      return;
    }
    List.copyOf(plan.moves.open.values()).forEach(move -> repeat(plan, move, now));
    if (now.steadyMs() < plan.moves.nextRebalanceMs) {
      return;
    }
    plan.moves.nextRebalanceMs = now.steadyMs() + LOOK_MS;
    plan.servers.values().forEach(s -> s.noteUse(now.steadyMs()));
    if (!plan.listComplete) {
      return;
    }
    List<Pool> pools = pools(plan, now);
    plan.moves.shortServices =
        pools.stream().filter(p -> p.surplus() < 0).map(p -> p.service).collect(Collectors.toSet());
    if (wantsList(plan, pools)) {
      plan.machines.ask(plan, now);
    }
    if (!plan.machines.known) {
      return;
    }
    pools.forEach(pool -> fill(plan, pool, pools, now));
    if (now.steadyMs() - plan.tookOverMs >= SETTLE_MS) {
      pools.forEach(pool -> spare(plan, pool, now));
    }
  }

  /** Tells whether the newest list of machines no longer says where each is. */
  private static boolean wantsList(Plan plan, List<Pool> pools) {
    return !plan.machines.known
        || !plan.machines.shows(plan.moves.lastBegunMs())
        || plan.machines.listed.values().stream().anyMatch(m -> isOff(plan, m) && !m.up())
        || pools.stream().anyMatch(Pool::hasNamelessMachine);
  }

  private static boolean isOff(Plan plan, MachineEntry machine) {
    return plan.catalog.sparePools().contains(machine.service());
  }

  /** The services that queues name, the one that is shortest of machines first. */
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

  /** Has machines moved to a pool that is short of them. */
  private static void fill(Plan plan, Pool pool, List<Pool> pools, Now now) {
    while (pool.surplus() < 0) {
      Optional<Source> source = source(plan, pool, pools, now);
      if (source.isEmpty()) {
        return;
      }
      source.get().taken().run();
      pool.have++;
      order(plan, source.get().machine(), pool.service, "asked for");
    }
  }

  /** A machine that may be moved, and what else that changes. */
  private record Source(MachineEntry machine, Runnable taken) {}

  /**
   * Machines that are switched off come first, then those without tasks that other pools have
   * borrowed, then those that belong to pools that need fewer.
   */
  private static Optional<Source> source(Plan plan, Pool to, List<Pool> pools, Now now) {
    Stream<Source> idle =
        pools.stream()
            .filter(from -> from != to && from.mayLose(0))
            .sorted(Comparator.comparingInt(from -> -from.surplus()))
            .flatMap(from -> from.idle(now, 0).map(m -> new Source(m, () -> from.have--)))
            .sorted(Comparator.comparing(s -> plan.machines.atHome(s.machine())));
    Stream<Source> off =
        plan.machines.listed.values().stream()
            .filter(m -> isOff(plan, m))
            .map(m -> new Source(m, () -> {}));
    Predicate<Source> movable = s -> movable(plan, s.machine(), to.service, now);
    return Stream.concat(off, idle).filter(movable).findFirst();
  }

  /** A machine that is on its way, or that no list has shown since it was moved, stays. */
  private static boolean movable(Plan plan, MachineEntry machine, String service, Now now) {
    String name = machine.name();
    return machine.up()
        && plan.machines.shows(plan.moves.begunMs(name))
        && !plan.moves.concerns(name)
        && now.steadyMs() >= plan.moves.restUntilMs.getOrDefault(name, 0L)
        && plan.moves.fits(name, service)
        && plan.waves.values().stream().noneMatch(w -> w.handles(name));
  }

  /** Has machines switched off that a pool has not needed for a while. */
  private static void spare(Plan plan, Pool pool, Now now) {
    Optional<String> spare = plan.catalog.sparePools().stream().sorted().findFirst();
    if (spare.isEmpty()) {
      return;
    }
    boolean unused =
        !plan.arrivals.any(pool.service)
            && plan.openByService.getOrDefault(pool.service, Set.of()).isEmpty();
    List<MachineEntry> idle =
        pool.idle(now, IDLE_MS)
            .filter(m -> pool.idleMs(m, now) >= restMs(plan, m, unused))
            .filter(m -> movable(plan, m, spare.get(), now))
            .toList();
    for (MachineEntry machine : idle) {
      if (pool.mayLose(RESERVE)) {
        pool.have--;
        order(plan, machine, spare.get(), "not needed");
      }
    }
  }

  /** How long a machine is without tasks before it is switched off, in milliseconds. */
  private static long restMs(Plan plan, MachineEntry machine, boolean unused) {
    return unused ? UNUSED_MS : plan.machines.atHome(machine) ? HOME_IDLE_MS : IDLE_MS;
  }

  private static void order(Plan plan, MachineEntry machine, String service, String why) {
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
        why);
    plan.ledger.other(plan.moves.record());
    plan.ledger.afterStore((later, out) -> move.stored = true);
  }

  private static void repeat(Plan plan, MachineMoves.Move move, Now now) {
    if (move.stored && !move.asked && now.steadyMs() >= move.retryAfterMs) {
      move.asked = true;
      plan.emit(new PlanEffect.Move(move.machine, move.service, plan.epoch));
    }
  }

  static void moved(Plan plan, PlanEvent.Moved event, Now now) {
    MachineMoves.Move move = plan.moves.open.get(event.machine());
    if (move == null || !move.service.equals(event.service())) {
      return;
    }
    move.asked = false;
    move.retryAfterMs = now.steadyMs() + RETRY_MS;
    plan.logEvent("machine-moved", "machine", move.machine, "result", event.result().name());
    switch (event.result()) {
      case BEGUN -> begun(plan, move, now);
      case FENCED -> plan.emit(new PlanEffect.Resign("a machine has seen a higher fencing token"));
      case MAYBE -> move.uncertainUntilMs = now.steadyMs() + LATE_ORDER_MS;
      case UNFIT -> {
        plan.moves.markUnfit(move.machine, move.service);
        giveUp(plan, move, now);
      }
      default -> {
        if (now.steadyMs() >= move.uncertainUntilMs) {
          giveUp(plan, move, now);
        }
      }
    }
  }

  private static void begun(Plan plan, MachineMoves.Move move, Now now) {
    close(plan, move, now);
    Server server = plan.servers.get(move.server);
    if (server != null) {
      ServerRules.died(plan, server, "its machine moves to another pool");
    }
    plan.moves.begun(move.machine, now.steadyMs());
    plan.machines.listed.put(move.machine, new MachineEntry(move.machine, move.service, false, ""));
    if (!plan.catalog.sparePools().contains(move.service)) {
      plan.moves.expect(move.machine, move.service, now.steadyMs() + ARRIVE_MS);
    }
  }

  /** Nothing was done nor will be. */
  private static void giveUp(Plan plan, MachineMoves.Move move, Now now) {
    close(plan, move, now);
    Server server = plan.servers.get(move.server);
    if (server != null) {
      server.moving = false;
      plan.wake(server);
    }
  }

  private static void close(Plan plan, MachineMoves.Move move, Now now) {
    plan.moves.open.remove(move.machine);
    plan.ledger.other(plan.moves.record());
    long length = move.uncertainUntilMs > 0 ? LATE_ORDER_MS : REST_MS;
    plan.moves.restUntilMs.put(move.machine, now.steadyMs() + length);
  }
}
