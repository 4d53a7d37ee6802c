package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.Catalog;
import dev.toucanstall.core.job.JobCall;
import dev.toucanstall.core.job.MachineEntry;
import dev.toucanstall.core.job.ServerEntry;
import dev.toucanstall.core.job.TaskKey;
import dev.toucanstall.core.job.WaveOrder;
import java.util.List;

/** What the planner is told. */
public sealed interface PlanEvent {

  /** Time has passed. */
  record Tick() implements PlanEvent {}

  /**
   * A call arrived.
   *
   * @param ticket names the call in its answer
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
   * An append was answered or given up.
   *
   * @param sequence its number
   * @param sentMs when it was sent, steady milliseconds
   * @param result whether it took effect
   */
  record Appended(long sequence, long sentMs, StoreResult result) implements PlanEvent {}

  /**
   * Entries of backend servers have changed.
   *
   * @param updated new or changed entries
   * @param removed ids whose entries were removed
   * @param complete whether every entry that is not named is gone too
   */
  record ServersRead(List<ServerEntry> updated, List<String> removed, boolean complete)
      implements PlanEvent {

    /** Copies the lists. */
    public ServersRead {
      updated = List.copyOf(updated);
      removed = List.copyOf(removed);
    }
  }

  /**
   * A call that renews a lease has ended.
   *
   * @param server the backend server
   * @param serverStartTimeMs its life
   * @param acknowledgedCompletion the highest end that it was told to forget
   * @param sentMs when it was sent, steady milliseconds
   * @param result what became of it
   */
  record Held(
      String server,
      long serverStartTimeMs,
      long acknowledgedCompletion,
      long sentMs,
      LeaseRenewalResult result)
      implements PlanEvent {}

  /**
   * A start has ended.
   *
   * @param server the backend server
   * @param serverStartTimeMs its life
   * @param task the task
   * @param run the run
   * @param result what became of it
   */
  record Started(String server, long serverStartTimeMs, TaskKey task, long run, OrderResult result)
      implements PlanEvent {}

  /**
   * A stop has ended.
   *
   * @param server the backend server
   * @param serverStartTimeMs its life
   * @param task the task
   * @param run the run
   * @param result what became of it
   */
  record Stopped(String server, long serverStartTimeMs, TaskKey task, long run, OrderResult result)
      implements PlanEvent {}

  /**
   * An operator wants machines maintained; telling it again has no effect.
   *
   * @param order what is wanted
   */
  record WaveOrdered(WaveOrder order) implements PlanEvent {}

  /**
   * The platform has listed its machines.
   *
   * @param requestedMs when it was asked, steady milliseconds
   * @param machines all machines
   */
  record MachinesRead(long requestedMs, List<MachineEntry> machines) implements PlanEvent {

    /** Copies the list. */
    public MachinesRead {
      machines = List.copyOf(machines);
    }
  }

  /**
   * The platform could not list its machines.
   *
   * @param reason what went wrong
   */
  record MachinesUnknown(String reason) implements PlanEvent {}

  /**
   * An order to maintain a machine has ended.
   *
   * @param wave the wave
   * @param machine the machine
   * @param result what became of it
   */
  record Maintained(int wave, String machine, MachineResult result) implements PlanEvent {}

  /**
   * An order to move a machine has ended.
   *
   * @param machine the machine
   * @param service the pool that it was to join
   * @param result what became of it
   */
  record Moved(String machine, String service, MachineResult result) implements PlanEvent {}
}
