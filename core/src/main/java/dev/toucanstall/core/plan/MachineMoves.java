package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.JobRecord;
import dev.toucanstall.core.job.JobRecord.MachineMove;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** Machines that change their pool. Owned by the control thread. */
final class MachineMoves {

  /** An order to move a machine that has not been answered for good. */
  static final class Move {

    final String machine;
    final String service;

    /** The backend server that runs on the machine, empty if none. */
    final String server;

    /** Whether the intent is stored, so that the next planner knows of it. */
    boolean stored;

    /** Whether an order is under way. */
    boolean asked;

    /** Until when an order without an answer may be carried out, 0 if there is none. */
    long uncertainUntilMs;

    long retryAfterMs;

    Move(String machine, String service, String server) {
      this.machine = machine;
      this.service = service;
      this.server = server;
    }
  }

  /** A machine whose backend server has not listed itself yet. */
  private record Arrival(String service, long untilMs) {}

  private record Fit(String machine, String service) {}

  /** Orders by machine. */
  final Map<String, Move> open = new LinkedHashMap<>();

  /** Earliest time of the next order for a machine. */
  final Map<String, Long> restUntilMs = new HashMap<>();

  /** When each machine was last moved, and when the last of all was. */
  private final Map<String, Long> begunMs = new HashMap<>();

  private long lastBegunMs = Long.MIN_VALUE;

  private final Map<String, Arrival> arriving = new LinkedHashMap<>();
  private final Set<Fit> unfit = new HashSet<>();

  /** Services whose pools had fewer machines than they need at the last look. */
  Set<String> shortServices = Set.of();

  /** Earliest time of the next look at the pools. */
  long nextRebalanceMs;

  /** Remembers an order of an earlier planner, which may yet be carried out. */
  void restore(MachineMove order, Now now) {
    Move move = new Move(order.machine(), order.service(), order.server());
    move.stored = true;
    move.uncertainUntilMs = now.steadyMs() + PoolRebalancing.LATE_ORDER_MS;
    open.put(move.machine, move);
  }

  JobRecord.OpenMoves record() {
    return new JobRecord.OpenMoves(
        open.values().stream().map(m -> new MachineMove(m.machine, m.service, m.server)).toList());
  }

  /** Tells whether a backend server may end with a move. */
  boolean ends(String server) {
    return open.values().stream().anyMatch(m -> m.server.equals(server));
  }

  /** Whether the platform says that a machine does not fit a pool. */
  void markUnfit(String machine, String service) {
    unfit.add(new Fit(machine, service));
  }

  boolean fits(String machine, String service) {
    return !unfit.contains(new Fit(machine, service));
  }

  /** Notes that a machine leaves its pool. */
  void begun(String machine, long nowMs) {
    begunMs.put(machine, nowMs);
    lastBegunMs = nowMs;
  }

  /** Returns when a machine was last moved, or a time before all others. */
  long begunMs(String machine) {
    return begunMs.getOrDefault(machine, Long.MIN_VALUE);
  }

  /** Returns when the last machine was moved, or a time before all others. */
  long lastBegunMs() {
    return lastBegunMs;
  }

  void expect(String machine, String service, long untilMs) {
    arriving.put(machine, new Arrival(service, untilMs));
  }

  /** A backend server of a service is new: one machine fewer is on its way. */
  void arrived(String service) {
    arriving.entrySet().stream()
        .filter(e -> e.getValue().service().equals(service))
        .map(Map.Entry::getKey)
        .findFirst()
        .ifPresent(arriving::remove);
  }

  /** Counts the machines on their way to a service. */
  int incoming(String service, long nowMs) {
    arriving.values().removeIf(a -> nowMs >= a.untilMs());
    long moving = open.values().stream().filter(m -> m.service.equals(service)).count();
    long moved = arriving.values().stream().filter(a -> a.service().equals(service)).count();
    return (int) (moving + moved);
  }

  /** Tells whether a machine is on its way between pools. */
  boolean concerns(String machine) {
    return open.containsKey(machine) || arriving.containsKey(machine);
  }
}
