package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.JobRecord;
import dev.toucanstall.core.job.MachineEntry;
import dev.toucanstall.core.job.WaveOrder;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Decides which machine of a maintenance wave is emptied and maintained next. */
final class Maintenance {

  /** Pause before an order that had no effect is given again, in milliseconds. */
  private static final long RETRY_MS = 500;

  /** Time to empty, maintain and see one machine again, in milliseconds, to plan by. */
  private static final long MACHINE_MS = 5_000;

  /** Part of a pool's backend servers that may be away for waves while its queue is busy. */
  private static final int BUSY_POOL_PART = 6;

  /** Part of a pool's backend servers that may be away for waves while its queue is idle. */
  private static final int IDLE_POOL_PART = 3;

  private Maintenance() {}

  static void ordered(Plan plan, WaveOrder order, Now now) {
    if (plan.waves.containsKey(order.number())) {
      return;
    }
    plan.waves.put(order.number(), new Wave(order, now.steadyMs()));
    plan.logEvent(
        "wave-ordered",
        "wave",
        Integer.toString(order.number()),
        "machines",
        Integer.toString(order.machines().size()));
  }

  static void machinesRead(Plan plan, PlanEvent.MachinesRead read, Now now) {
    plan.machines.read(read.machines(), read.requestedMs(), now);
    for (Wave wave : plan.waves.values()) {
      wave.down
          .entrySet()
          .removeIf(e -> e.getValue() < read.requestedMs() && isBack(plan, e.getKey()));
    }
  }

  /**
   * A machine is back when it is in service with a backend server that lists itself, or in a pool
   * whose machines are switched off.
   */
  private static boolean isBack(Plan plan, String machine) {
    MachineEntry entry = plan.machines.listed.get(machine);
    if (entry == null) {
      return true;
    }
    boolean off = plan.catalog.sparePools().contains(entry.service());
    return entry.up() && (off || plan.servers.containsKey(entry.serverId()));
  }

  static void machinesUnknown(Plan plan, PlanEvent.MachinesUnknown unknown, Now now) {
    plan.machines.answered(now);
    plan.logEvent("machines-unknown", "why", unknown.reason());
  }

  static void maintained(Plan plan, PlanEvent.Maintained event, Now now) {
    Wave wave = plan.waves.get(event.wave());
    if (wave == null) {
      return;
    }
    String machine = event.machine();
    plan.logEvent(
        "maintenance-answered",
        "wave",
        Integer.toString(event.wave()),
        "machine",
        machine,
        "result",
        event.result().name());
    switch (event.result()) {
      case BEGUN -> {
        endServer(plan, wave, machine);
        wave.ordered.remove(machine);
        wave.down.put(machine, now.steadyMs());
        Set<String> begun = plan.machines.begun(event.wave());
        begun.add(machine);
        plan.ledger.other(new JobRecord.WaveProgress(event.wave(), List.copyOf(begun)));
      }
      case UNFIT -> {
        stopEmptying(plan, wave, machine);
        wave.ordered.remove(machine);
        wave.foreign.add(machine);
      }
      case FENCED -> plan.emit(new PlanEffect.Resign("a machine has seen a higher fencing token"));
      default -> wave.retryAfterMs.put(machine, now.steadyMs() + RETRY_MS);
    }
  }

  /** Maintenance ends all that runs on the machine. */
  private static void endServer(Plan plan, Wave wave, String machine) {
    String id = wave.emptying.remove(machine);
    Server server = id == null ? null : plan.servers.get(id);
    if (server != null) {
      ServerRules.died(plan, server, "its machine is maintained");
    }
  }

  private static void stopEmptying(Plan plan, Wave wave, String machine) {
    String id = wave.emptying.remove(machine);
    Server server = id == null ? null : plan.servers.get(id);
    if (server != null) {
      server.evacuate(false);
      plan.wake(server);
    }
  }

  static void advance(Plan plan, Now now) {
    boolean open = plan.waves.values().stream().anyMatch(w -> !w.completed);
    if (!open || !plan.mayOrder(now)) {
      return;
    }
    plan.machines.ask(plan, now);
    if (plan.machines.known && plan.listComplete) {
      plan.waves.values().stream().filter(w -> !w.completed).forEach(w -> advance(plan, w, now));
    }
  }

  private static void advance(Plan plan, Wave wave, Now now) {
    if (!wave.told) {
      wave.told = true;
      plan.emit(new PlanEffect.TellWave(wave.order.number(), false, plan.epoch));
    }
    List<String> left = left(plan, wave);
    if (left.isEmpty()) {
      complete(plan, wave);
      return;
    }
    for (String machine : left) {
      if (wave.emptying.containsKey(machine)) {
        orderIfEmpty(plan, wave, machine, now);
      }
    }
    choose(plan, wave, left, now);
  }

  private static void complete(Plan plan, Wave wave) {
    wave.completed = true;
    plan.logEvent("wave-completed", "wave", Integer.toString(wave.order.number()));
    plan.ledger.afterStore(
        (now, out) -> out.accept(new PlanEffect.TellWave(wave.order.number(), true, plan.epoch)));
  }

  private static List<String> left(Plan plan, Wave wave) {
    Set<String> begun = plan.machines.begun(wave.order.number());
    return wave.order.machines().stream()
        .filter(m -> !begun.contains(m) && !wave.foreign.contains(m))
        .filter(m -> stays(plan, wave, m))
        .toList();
  }

  /** Tells whether a machine still exists, listed or not. */
  private static boolean stays(Plan plan, Wave wave, String machine) {
    return plan.machines.listed.containsKey(machine)
        || wave.ordered.contains(machine)
        || plan.moves.concerns(machine);
  }

  private static void orderIfEmpty(Plan plan, Wave wave, String machine, Now now) {
    if (!isEmpty(plan, wave, machine, now)) {
      return;
    }
    if (now.steadyMs() < wave.retryAfterMs.getOrDefault(machine, 0L)) {
      return;
    }
    wave.retryAfterMs.put(machine, Long.MAX_VALUE);
    wave.ordered.add(machine);
    plan.emit(new PlanEffect.Maintain(wave.order.number(), machine, plan.epoch));
  }

  /**
   * Looks at the backend server that is on the machine now, which may be a later one. A list that
   * was asked for before the machine was moved last, or that shows it under way, tells nothing: its
   * next backend server may have tasks by now.
   */
  private static boolean isEmpty(Plan plan, Wave wave, String machine, Now now) {
    MachineEntry entry = plan.machines.listed.get(machine);
    if (entry != null && !entry.serverId().equals(wave.emptying.get(machine))) {
      empty(plan, wave, entry, now);
    }
    Server server = plan.servers.get(wave.emptying.getOrDefault(machine, ""));
    if (server == null) {
      boolean told = plan.machines.shows(plan.moves.begunMs(machine));
      return entry == null || (told && entry.up() && entry.serverId().isEmpty());
    }
    server.evacuate(true);
    return server.tasks.isEmpty() && server.answered;
  }

  /** Begins to empty as many machines as the wave and their pools allow. */
  private static void choose(Plan plan, Wave wave, List<String> left, Now now) {
    boolean late = late(wave, left, now);
    List<MachineEntry> candidates =
        left.stream()
            .filter(m -> !wave.emptying.containsKey(m) && !plan.moves.concerns(m))
            .map(m -> Optional.ofNullable(plan.machines.listed.get(m)))
            .flatMap(Optional::stream)
            .filter(MachineEntry::up)
            .sorted(Comparator.comparingInt(m -> tasks(plan, m)))
            .toList();
    for (MachineEntry machine : candidates) {
      if (wave.away(plan.machines.listed) >= wave.order.maxParallel()) {
        return;
      }
      boolean spares = late || !plan.moves.shortServices.contains(machine.service());
      if (spares && poolAllows(plan, machine, late)) {
        empty(plan, wave, machine, now);
      }
    }
  }

  private static boolean late(Wave wave, List<String> left, Now now) {
    long rounds =
        (left.size() + wave.order.maxParallel() - 1) / Math.max(1, wave.order.maxParallel());
    return now.steadyMs() + (rounds + 1) * MACHINE_MS > wave.dueMs;
  }

  private static int tasks(Plan plan, MachineEntry machine) {
    Server server = plan.servers.get(machine.serverId());
    return server == null ? 0 : server.tasks.size();
  }

  private static boolean poolAllows(Plan plan, MachineEntry machine, boolean late) {
    List<Server> pool = List.copyOf(plan.servers.ofService(machine.service()));
    long working = pool.stream().filter(Maintenance::works).count();
    boolean busy =
        plan.openByService.getOrDefault(machine.service(), Set.of()).stream()
            .anyMatch(j -> !j.spec.lasting());
    long total =
        plan.machines.listed.values().stream()
            .filter(m -> m.service().equals(machine.service()))
            .count();
    long mayBeAway = Math.max(1, total / (busy && !late ? BUSY_POOL_PART : IDLE_POOL_PART));
    return total - working < mayBeAway || (pool.isEmpty() && total > 0);
  }

  private static boolean works(Server server) {
    return server.answered && server.silentSinceMs == 0 && !server.evacuating && !server.unlisted;
  }

  private static void empty(Plan plan, Wave wave, MachineEntry machine, Now now) {
    wave.emptying.put(machine.name(), machine.serverId());
    Server server = plan.servers.get(machine.serverId());
    if (server != null) {
      server.evacuate(true);
      server.evacuatingSinceMs = now.steadyMs();
    }
    plan.logEvent(
        "machine-emptying",
        "wave",
        Integer.toString(wave.order.number()),
        "machine",
        machine.name(),
        "server",
        machine.serverId());
  }

  /** Tells whether a backend server's machine waits for its maintenance. */
  static boolean awaitsMaintenance(Plan plan, Server server) {
    return plan.waves.values().stream()
        .filter(w -> !w.completed)
        .anyMatch(w -> awaits(plan, w, server.entry.id()));
  }

  private static boolean awaits(Plan plan, Wave wave, String server) {
    MachineEntry machine = plan.machines.byServer.get(server);
    return machine != null
        && wave.machines.contains(machine.name())
        && !plan.machines.begun(wave.order.number()).contains(machine.name());
  }
}
