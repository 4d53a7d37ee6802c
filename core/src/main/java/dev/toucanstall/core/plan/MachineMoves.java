package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.JobRecord;
import dev.toucanstall.core.job.JobRecord.MachineMove;
import dev.toucanstall.core.job.RecordSize;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Machines that change their pool: open orders, arrivals and pauses. Owned by the control thread.
 */
final class MachineMoves {

  /** Largest size of an order in its record, in bytes. */
  private static final int MAX_MOVE_BYTES = 2_000;

  /** Order to move a machine to another pool, until its outcome is final. */
  static final class Move extends MachineOrder {

    /** Service whose pool the machine joins. */
    final String service;

    /**
     * Creates an order.
     *
     * @param machine name of the machine
     * @param service service whose pool the machine joins
     * @param server id of the backend server that ends with the move, empty if none
     */
    Move(String machine, String service, String server) {
      super(machine, server);
      this.service = service;
    }
  }

  /**
   * Machine that has been moved and whose backend server has not listed itself yet.
   *
   * @param service service whose pool the machine joins
   * @param untilMs time until which the machine is expected, in milliseconds of the monotonic clock
   */
  private record ExpectedMachine(String service, long untilMs) {}

  /**
   * Machine and a pool that it does not fit.
   *
   * @param machine name of the machine
   * @param service service of the pool
   */
  private record MachineAndPool(String machine, String service) {}

  /** Open orders by the name of the machine. */
  final Map<String, Move> open = new LinkedHashMap<>();

  /**
   * Earliest time of the next order for a machine by its name, in milliseconds of the monotonic
   * clock.
   */
  final Map<String, Long> nextOrderMs = new HashMap<>();

  /**
   * Time at which each machine was last moved by its name, in milliseconds of the monotonic clock.
   */
  private final Map<String, Long> lastMovedMs = new HashMap<>();

  /** Time at which any machine was last moved, in milliseconds of the monotonic clock. */
  private long newestMoveMs = Long.MIN_VALUE;

  /** Machines that are expected to arrive in their new pool, by name. */
  private final Map<String, ExpectedMachine> expectedMachines = new LinkedHashMap<>();

  /** Pairs of machine and pool that the platform has rejected. */
  private final Set<MachineAndPool> unfitPairs = new HashSet<>();

  /** Services whose pools had fewer machines than needed at the last rebalance. */
  Set<String> shortServices = Set.of();

  /** Earliest time of the next rebalance of the pools, in milliseconds of the monotonic clock. */
  long nextRebalanceMs;

  /** Restores an order of an earlier planner, which may yet be carried out. */
  void restore(MachineMove order, Now now) {
    Move move = new Move(order.machine(), order.service(), order.server());
    move.restored(now);
    open.put(move.machine, move);
  }

  JobRecord.OpenMoves openMovesRecord() {
    return new JobRecord.OpenMoves(
        open.values().stream().map(m -> new MachineMove(m.machine, m.service, m.server)).toList());
  }

  /** Returns whether the record of the open orders has room for one more, as far as known. */
  boolean hasRoom(int recordBytes) {
    return RecordSize.maxBytes(openMovesRecord()) + MAX_MOVE_BYTES <= recordBytes;
  }

  /** Returns whether an open order may end a backend server. */
  boolean mayEnd(String server) {
    return open.values().stream().anyMatch(m -> m.server.equals(server));
  }

  /** Remembers that a machine does not fit a pool. */
  void markUnfit(String machine, String service) {
    unfitPairs.add(new MachineAndPool(machine, service));
  }

  /** Returns whether the platform has not rejected a machine for a pool. */
  boolean fits(String machine, String service) {
    return !unfitPairs.contains(new MachineAndPool(machine, service));
  }

  /** Remembers the time at which a machine left its pool. */
  void recordMove(String machine, long nowMs) {
    lastMovedMs.put(machine, nowMs);
    newestMoveMs = nowMs;
  }

  /**
   * Returns the time at which a machine was last moved, or {@link Long#MIN_VALUE} if it never was.
   */
  long lastMovedMs(String machine) {
    return lastMovedMs.getOrDefault(machine, Long.MIN_VALUE);
  }

  /**
   * Returns the time at which any machine was last moved, or {@link Long#MIN_VALUE} if none was.
   */
  long newestMoveMs() {
    return newestMoveMs;
  }

  /** Expects a moved machine to arrive in its new pool until a time. */
  void expect(String machine, String service, long untilMs) {
    expectedMachines.put(machine, new ExpectedMachine(service, untilMs));
  }

  /** Counts a new backend server of a service as the arrival of one of the expected machines. */
  void arrived(String service) {
    expectedMachines.entrySet().stream()
        .filter(e -> e.getValue().service().equals(service))
        .map(Map.Entry::getKey)
        .findFirst()
        .ifPresent(expectedMachines::remove);
  }

  /** Counts the machines that are being moved to a service's pool or are expected there. */
  int incomingCount(String service, long nowMs) {
    expectedMachines.values().removeIf(a -> nowMs >= a.untilMs());
    long moving = open.values().stream().filter(m -> m.service.equals(service)).count();
    long moved =
        expectedMachines.values().stream().filter(a -> a.service().equals(service)).count();
    return (int) (moving + moved);
  }

  /** Returns whether a machine is being moved between pools. */
  boolean isMoving(String machine) {
    return open.containsKey(machine) || expectedMachines.containsKey(machine);
  }
}
