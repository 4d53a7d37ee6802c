package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.Catalog;
import dev.toucanstall.core.job.JobCall;
import dev.toucanstall.core.job.MachineEntry;
import dev.toucanstall.core.job.ServerEntry;
import dev.toucanstall.core.job.TaskKey;
import dev.toucanstall.core.job.WaveOrder;
import java.util.List;

/** Input of the planner. */
public sealed interface PlanEvent {

  /** Regular tick: time has passed. */
  record Tick() implements PlanEvent {}

  /**
   * A client account's call has arrived.
   *
   * @param ticket identifies the call in its answer
   * @param call the call
   */
  record Called(long ticket, JobCall call) implements PlanEvent {}

  /**
   * The configuration has changed.
   *
   * @param catalog the new version
   */
  record CatalogChanged(Catalog catalog) implements PlanEvent {}

  /**
   * An append has ended.
   *
   * @param sequence number of the append
   * @param sentMs time at which the append was sent, in milliseconds of the monotonic clock
   * @param result result of the append
   * @param logEnd end of the job log after the append, -1 if unknown
   */
  record Appended(long sequence, long sentMs, StoreResult result, long logEnd)
      implements PlanEvent {

    /** Creates an event that does not tell the end of the job log. */
    public Appended(long sequence, long sentMs, StoreResult result) {
      this(sequence, sentMs, result, -1);
    }
  }

  /**
   * The list of backend servers was read, or the changes since the last read.
   *
   * @param requestedMs time of the request, in milliseconds of the monotonic clock, if no later
   *     change is left to be read; else far in the past
   * @param updated new or changed entries
   * @param removed ids whose entries were removed
   * @param complete whether {@code updated} names all entries, so that any other is removed
   */
  record ServersRead(
      long requestedMs, List<ServerEntry> updated, List<String> removed, boolean complete)
      implements PlanEvent {

    /** Copies the lists. */
    public ServersRead {
      updated = List.copyOf(updated);
      removed = List.copyOf(removed);
    }
  }

  /**
   * A lease renewal has ended.
   *
   * @param server id of the backend server
   * @param serverStartTimeMs start time of the addressed incarnation, in Unix milliseconds
   * @param acknowledgedCompletion number up to which the renewal has acknowledged finished runs
   * @param sentMs time at which the renewal was sent, in milliseconds of the monotonic clock
   * @param result result of the renewal
   */
  record Held(
      String server,
      long serverStartTimeMs,
      long acknowledgedCompletion,
      long sentMs,
      LeaseRenewalResult result)
      implements PlanEvent {}

  /**
   * The order to start a run has ended.
   *
   * @param server id of the backend server
   * @param serverStartTimeMs start time of the addressed incarnation, in Unix milliseconds
   * @param task the task
   * @param run number of the run
   * @param result result of the order
   */
  record Started(String server, long serverStartTimeMs, TaskKey task, long run, OrderResult result)
      implements PlanEvent {}

  /**
   * The order to stop a run has ended.
   *
   * @param server id of the backend server
   * @param serverStartTimeMs start time of the addressed incarnation, in Unix milliseconds
   * @param task the task
   * @param run number of the run
   * @param result result of the order
   */
  record Stopped(String server, long serverStartTimeMs, TaskKey task, long run, OrderResult result)
      implements PlanEvent {}

  /**
   * An operator has ordered the maintenance of machines. Repeating the order has no effect.
   *
   * @param order the order
   */
  record WaveOrdered(WaveOrder order) implements PlanEvent {}

  /**
   * The platform has listed its machines.
   *
   * @param requestedMs time of the request, in milliseconds of the monotonic clock
   * @param machines all machines
   */
  record MachinesRead(long requestedMs, List<MachineEntry> machines) implements PlanEvent {

    /** Copies the list of machines. */
    public MachinesRead {
      machines = List.copyOf(machines);
    }
  }

  /**
   * The platform could not list its machines.
   *
   * @param reason reason of the failure
   */
  record MachinesUnknown(String reason) implements PlanEvent {}

  /**
   * The order to maintain a machine has ended.
   *
   * @param wave number of the wave
   * @param machine name of the machine
   * @param result result of the order
   */
  record Maintained(int wave, String machine, MachineResult result) implements PlanEvent {}

  /**
   * The order to move a machine has ended.
   *
   * @param machine name of the machine
   * @param service service whose pool the machine was to join
   * @param result result of the order
   */
  record Moved(String machine, String service, MachineResult result) implements PlanEvent {}
}
