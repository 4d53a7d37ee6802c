package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.Account;
import dev.toucanstall.core.job.Catalog;
import dev.toucanstall.core.job.JobRecord;
import dev.toucanstall.core.job.Queue;
import dev.toucanstall.core.job.Resources;
import dev.toucanstall.core.job.TaskPhase;
import dev.toucanstall.core.model.StoreLimits;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * State of a planner during one term. Owned by the control thread and changed in place by {@link
 * PlanReducer} only.
 */
public final class Plan {

  /** Shortest time between two placement passes, in milliseconds. */
  private static final long MIN_PASS_INTERVAL_MS = 4;

  /**
   * Number of open jobs that lengthens the time between two passes by 1 ms, because a pass costs
   * more with each open job.
   */
  private static final int JOBS_PER_INTERVAL_MS = 25;

  /** Epoch of the term, used as the fencing token. */
  final long epoch;

  final StoreLimits storeLimits;

  /** Change from the last planner to this one. */
  final Succession succession;

  /** Whether the store is away for each entry instance that this planner knows of. */
  private boolean storeAwayForAll;

  /** Writer of the changes to the store. */
  final Ledger ledger;

  /** Resources that are bound by each client account. */
  final Quotas quotas = new Quotas();

  /** Share of submissions of each client account. */
  final Shares shares = new Shares();

  /** All known jobs by id, also those that have ended and can still be queried. */
  final Map<String, Job> jobs = new LinkedHashMap<>();

  final Servers servers = new Servers();

  final FormerClocks formerClocks = new FormerClocks();

  final UnaccountedStarts unaccountedStarts = new UnaccountedStarts();

  final OpenJobs openJobs = new OpenJobs();

  /** Bound for the memory of all jobs. */
  final JobMemory jobMemory = new JobMemory();

  /** Maintenance waves by number. */
  final Map<Integer, Wave> waves = new LinkedHashMap<>();

  final Machines machines = new Machines();

  /** Bound on the orders that are under way. */
  final OrderWindow orders = new OrderWindow();

  final Durations durations = new Durations();

  /** Rates at which work arrives. */
  final Arrivals arrivals = new Arrivals();

  final MachineMoves moves = new MachineMoves();

  /** Services that are marked for the next placement pass. */
  final Set<String> servicesToPlace = new LinkedHashSet<>();

  Catalog catalog;

  /** Whether the complete list of backend servers has been read. */
  boolean serverListComplete;

  /** Earliest time of the next sweep over all jobs, in milliseconds of the monotonic clock. */
  long nextSweepMs;

  /** Earliest time of the next placement pass, in milliseconds of the monotonic clock. */
  private long nextPassMs;

  long passes;

  /** Start of the term, in milliseconds of the monotonic clock. */
  final long termStartMs;

  private long nextJobNumber;

  private List<PlanEffect> effects = new ArrayList<>();

  /** Listener to the parts of each decision. */
  PassProbe probe = PassProbe.NONE;

  /**
   * Creates the state of a new term over a store with the usual limits.
   *
   * @param epoch epoch of the term, used as the fencing token
   * @param firstSequence number of the first append
   * @param catalog the configuration
   * @param records the newest record of each key, submissions before progress
   * @param now start of the term
   */
  public Plan(long epoch, long firstSequence, Catalog catalog, List<JobRecord> records, Now now) {
    this(
        epoch,
        firstSequence,
        catalog,
        records,
        now,
        StoreLimits.DEFAULT,
        Succession.ofUnknown(now));
  }

  /**
   * Creates the state of a new term from the stored records.
   *
   * @param epoch epoch of the term, used as the fencing token
   * @param firstSequence number of the first append
   * @param catalog the configuration
   * @param records the newest record of each key, submissions before progress
   * @param now start of the term
   * @param storeLimits limits of the store
   * @param succession what is known of the change from the last planner
   */
  public Plan(
      long epoch,
      long firstSequence,
      Catalog catalog,
      List<JobRecord> records,
      Now now,
      StoreLimits storeLimits,
      Succession succession) {
    this.epoch = epoch;
    this.catalog = catalog;
    this.storeLimits = storeLimits;
    this.succession = succession;
    this.ledger =
        new Ledger(epoch, firstSequence, succession.confirmedMs(), storeLimits.callBytes());
    this.termStartMs = now.steadyMs();
    Recovery.restore(this, records, now);
    JobRules.catalogChanged(this, catalog);
  }

  /**
   * Sets whether the store is away for each entry instance that this planner knows of, so that it
   * prolongs the leases for the outage.
   *
   * @param away whether none of them can be elected
   */
  public void setStoreAwayForAll(boolean away) {
    storeAwayForAll = away;
  }

  /**
   * Returns the time at which the leases that this planner may give end, in milliseconds of the
   * monotonic clock.
   */
  long leaseEndMs() {
    return ledger.confirmedMs()
        + (storeAwayForAll ? PlanReducer.OUTAGE_LEASE_HORIZON_MS : PlanReducer.LEASE_HORIZON_MS);
  }

  /**
   * Returns the epoch of the term, used as the fencing token.
   *
   * @return the epoch
   */
  public long epoch() {
    return epoch;
  }

  /**
   * Returns the end of the job log after the last append that the store has confirmed.
   *
   * @return offset after the last record, -1 if it or the time of the confirmation is unknown
   */
  public long confirmedLogEnd() {
    return ledger.confirmedLogEnd();
  }

  /**
   * Returns the time at which the store last confirmed the fencing token.
   *
   * @return time at which the confirmed append was sent, in milliseconds of the monotonic clock
   */
  public long confirmedMs() {
    return ledger.confirmedMs();
  }

  /**
   * Sets the listener to the parts of each decision.
   *
   * @param listener called at the end of each part from now on
   */
  public void setProbe(PassProbe listener) {
    probe = listener;
  }

  /**
   * Returns whether the store has confirmed the fencing token recently enough to start runs and to
   * order changes of machines.
   */
  boolean mayIssueOrders(Now now) {
    return now.steadyMs() - ledger.confirmedMs() <= PlanReducer.START_PERMISSION_MS;
  }

  /**
   * Returns whether the store fails this planner's appends. It may serve other entry instances.
   *
   * @param now current time
   * @return true if an append has failed several times and none has succeeded since
   */
  public boolean isStoreFailing(Now now) {
    return ledger.isStoreFailing(now);
  }

  /**
   * Requires another confirmation of the fencing token by the store before any run is started or
   * any lease is renewed.
   */
  public void requireReconfirmation() {
    ledger.requireReconfirmation();
  }

  /**
   * Returns the number of open jobs, those that have not ended or still have bound tasks.
   *
   * @return the number of open jobs
   */
  public int openJobs() {
    return openJobs.size();
  }

  /**
   * Returns the number of placement passes in this term.
   *
   * @return the number of passes
   */
  public long passes() {
    return passes;
  }

  /**
   * Counts the jobs, tasks and backend servers of this planner. Visits each open job and each bound
   * task.
   *
   * @return the counts
   */
  public PlanLoad load() {
    return PlanLoad.of(this);
  }

  /**
   * Returns the total number of backend servers that searches have examined, as a measure of cost.
   *
   * @return the number of examinations in this term
   */
  public long serversExamined() {
    return servers.examined();
  }

  /** Returns whether a placement pass is due. If so, counts it and sets the time of the next. */
  boolean passDue(Now now) {
    if (now.steadyMs() < nextPassMs) {
      return false;
    }
    passes++;
    nextPassMs = now.steadyMs() + MIN_PASS_INTERVAL_MS + openJobs() / JOBS_PER_INTERVAL_MS;
    return true;
  }

  /** Returns the effects of the current decision and removes them. */
  List<PlanEffect> takeEffects() {
    List<PlanEffect> taken = effects;
    effects = new ArrayList<>();
    return taken;
  }

  void emit(PlanEffect effect) {
    effects.add(effect);
  }

  /** Returns a consumer that adds effects to the current decision. */
  Consumer<PlanEffect> emitter() {
    return this::emit;
  }

  /**
   * Emits a log event.
   *
   * @param event name of the event
   * @param fields names and values of the fields, alternating
   */
  void logEvent(String event, String... fields) {
    Map<String, String> values = new LinkedHashMap<>();
    for (int i = 0; i + 1 < fields.length; i += 2) {
      values.put(fields[i], fields[i + 1]);
    }
    emit(new PlanEffect.Note(event, values));
  }

  /** Returns the queue of a job, null if the configuration has none of that name. */
  @Nullable Queue queue(Job job) {
    return catalog.queuesByName().get(job.queue);
  }

  /**
   * Returns the quota of a client account; parts of 0, also those of an unknown account, limit
   * nothing.
   */
  Resources quota(String account) {
    Account found = catalog.accountsByName().get(account);
    return found == null ? Resources.NONE : found.quota();
  }

  void add(Job job) {
    job.sequence = nextJobNumber++;
    jobs.put(job.id, job);
    jobMemory.opened(job);
  }

  /** Adds a job that has ended and is remembered for queries only. */
  void addEnded(Job job) {
    jobs.put(job.id, job);
    jobMemory.ended(job);
  }

  /** Forgets a job. */
  void remove(String job) {
    jobs.remove(job);
    jobMemory.removed(job);
  }

  /** Adds a job to the open jobs and marks its service for placement. */
  void open(Job job) {
    openJobs.add(job);
    servicesToPlace.add(job.service);
  }

  /** Marks the service of a backend server for the next placement pass. */
  void markForPlacement(Server server) {
    servicesToPlace.add(server.entry.service());
  }

  /**
   * Releases a task whose run has ended or was never started, and logs on what evidence, so that
   * each of two runs of a task names the reason for which the other was started.
   */
  void releaseEnded(Task task, RunEvidence evidence, Now now) {
    Server from = task.server;
    logEvent(
        "run-released",
        "task",
        task.key.toString(),
        "run",
        Long.toString(task.run),
        "server",
        from == null ? "" : from.entry.id(),
        "born",
        from == null ? "" : Long.toString(from.entry.startTimeMs()),
        "evidence",
        evidence.kind().name(),
        "evidence-age-ms",
        Long.toString(now.steadyMs() - evidence.atMs()),
        "epoch",
        Long.toString(epoch),
        "term-ms",
        Long.toString(now.steadyMs() - termStartMs));
    task.lastEndListedMs =
        switch (evidence.kind()) {
          case END_LISTED -> evidence.atMs();
          case NOT_STARTED -> task.lastEndListedMs;
          default -> 0;
        };
    release(task);
  }

  /**
   * Unbinds a task that has no run. The task waits for its next run, or is dropped if its job has
   * ended.
   */
  void release(Task task) {
    Server from = task.server;
    if (from != null) {
      markForPlacement(from);
    }
    task.unbind();
    task.setPhase(task.job.phase.ended() ? TaskPhase.DROPPED : TaskPhase.WAITING);
    ledger.changed(task.job);
    servicesToPlace.add(task.job.service);
    JobRules.closeIfEnded(this, task.job);
  }
}
