package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.Account;
import dev.toucanstall.core.job.Catalog;
import dev.toucanstall.core.job.JobRecord;
import dev.toucanstall.core.job.Queue;
import dev.toucanstall.core.job.Resources;
import dev.toucanstall.core.job.TaskPhase;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * The state of a planner during one term of office. Owned by the control thread and changed in
 * place; only {@link PlanReducer} changes it.
 */
public final class Plan {

  /** Shortest time between two passes over all queues and backend servers, in milliseconds. */
  private static final long PASS_GAP_MS = 4;

  /** A pass costs more with each open job; so many lengthen the time between two by 1 ms. */
  private static final int JOBS_PER_GAP_MS = 25;

  final long epoch;
  final Ledger ledger;
  final Quotas quotas = new Quotas();
  final Shares shares = new Shares();
  final Map<String, Job> jobs = new LinkedHashMap<>();
  final Servers servers = new Servers();
  final Map<String, Set<Job>> openByService = new HashMap<>();

  /** Of the open jobs those that have tasks that wait for room only. */
  final Map<String, Set<Job>> readyByService = new HashMap<>();

  final Map<Integer, Wave> waves = new LinkedHashMap<>();
  final Machines machines = new Machines();
  final Durations durations = new Durations();
  final Arrivals arrivals = new Arrivals();
  final MachineMoves moves = new MachineMoves();

  /** Services whose queue must be looked at. */
  final Set<String> dirtyServices = new LinkedHashSet<>();

  Catalog catalog;
  boolean listComplete;
  long nextSweepMs;
  private long nextPassMs;

  /** How many passes were made. */
  long passes;

  /** When the backend servers were last given time to answer a new planner. */
  final long tookOverMs;

  private long jobNumbers;

  private List<PlanEffect> out = new ArrayList<>();

  /** Told of the parts of each decision. */
  PassProbe probe = PassProbe.NONE;

  /**
   * Creates a plan from what is stored.
   *
   * @param epoch the fencing token of this term
   * @param firstSequence the number of the first append
   * @param catalog the configuration
   * @param records the newest record of each key, submissions before progress
   * @param now the time
   */
  public Plan(long epoch, long firstSequence, Catalog catalog, List<JobRecord> records, Now now) {
    this.epoch = epoch;
    this.catalog = catalog;
    this.ledger = new Ledger(epoch, firstSequence, now.steadyMs());
    this.tookOverMs = now.steadyMs();
    Recovery.restore(this, records, now);
    JobRules.catalogChanged(this, catalog);
  }

  /**
   * Returns the fencing token.
   *
   * @return the number
   */
  public long epoch() {
    return epoch;
  }

  /**
   * Returns when the store last confirmed the fencing token.
   *
   * @return steady milliseconds of the question
   */
  public long confirmedMs() {
    return ledger.confirmedMs();
  }

  /**
   * Has the parts of each decision measured.
   *
   * @param to told of each part from now on
   */
  public void setProbe(PassProbe to) {
    probe = to;
  }

  /** Tells whether the store has confirmed the fencing token lately enough to give orders. */
  boolean mayOrder(Now now) {
    return now.steadyMs() - ledger.confirmedMs() <= PlanReducer.START_PERMISSION_MS;
  }

  /** Starts and renews nothing until the store has confirmed the fencing token again. */
  public void requireReconfirmation() {
    ledger.doubtTerm();
  }

  /**
   * Returns how many jobs have not ended.
   *
   * @return the number
   */
  public int openJobs() {
    return openByService.values().stream().mapToInt(Set::size).sum();
  }

  /**
   * Returns how many passes were made in this term.
   *
   * @return the number
   */
  public long passes() {
    return passes;
  }

  /**
   * Counts what this planner looks after; looks at each task of the open jobs.
   *
   * @return the counts
   */
  public PlanLoad load() {
    int[] tasks = new int[TaskPhase.values().length];
    openByService.values().stream()
        .flatMap(Set::stream)
        .flatMap(Job::tasks)
        .forEach(task -> tasks[task.phase.ordinal()]++);
    return new PlanLoad(
        passes,
        openJobs(),
        servers.size(),
        (int) servers.values().stream().filter(server -> !server.tasks.isEmpty()).count(),
        tasks[TaskPhase.WAITING.ordinal()],
        tasks[TaskPhase.ORDERED.ordinal()],
        tasks[TaskPhase.RUNNING.ordinal()],
        tasks[TaskPhase.STOPPING.ordinal()]);
  }

  /**
   * Returns how many backend servers were looked at one by one in search of something.
   *
   * @return the number in this term
   */
  public long serversExamined() {
    return servers.looks();
  }

  /** Tells whether it is time for a pass, and begins the time to the next. */
  boolean passDue(Now now) {
    if (now.steadyMs() < nextPassMs) {
      return false;
    }
    passes++;
    nextPassMs = now.steadyMs() + PASS_GAP_MS + openJobs() / JOBS_PER_GAP_MS;
    return true;
  }

  List<PlanEffect> takeEffects() {
    List<PlanEffect> taken = out;
    out = new ArrayList<>();
    return taken;
  }

  void emit(PlanEffect effect) {
    out.add(effect);
  }

  Consumer<PlanEffect> emitter() {
    return this::emit;
  }

  void logEvent(String event, String... fields) {
    Map<String, String> named = new LinkedHashMap<>();
    for (int i = 0; i + 1 < fields.length; i += 2) {
      named.put(fields[i], fields[i + 1]);
    }
    emit(new PlanEffect.Note(event, named));
  }

  @Nullable Queue queue(Job job) {
    return catalog.queuesByName().get(job.queue);
  }

  Resources quota(String account) {
    Account known = catalog.accountsByName().get(account);
    return known == null ? Resources.NONE : known.quota();
  }

  void add(Job job) {
    job.number = jobNumbers++;
    jobs.put(job.id, job);
  }

  void open(Job job) {
    openByService.computeIfAbsent(job.service, s -> new LinkedHashSet<>()).add(job);
    job.listed = true;
    noteReady(job);
    dirtyServices.add(job.service);
  }

  void close(Job job) {
    Set<Job> open = openByService.get(job.service);
    if (open != null) {
      open.remove(job);
    }
    job.listed = false;
    noteReady(job);
  }

  /** Keeps up with whether a job has tasks that wait for room only. */
  void noteReady(Job job) {
    Set<Job> all = readyByService.computeIfAbsent(job.service, s -> new LinkedHashSet<>());
    if (job.listed && job.ready) {
      all.add(job);
    } else {
      all.remove(job);
    }
  }

  void wake(Server server) {
    dirtyServices.add(server.entry.service());
  }

  /** Lets a task that is not bound any more wait for its next run, or end with its job. */
  void release(Task task) {
    Server from = task.server;
    if (from != null) {
      wake(from);
    }
    task.unbind();
    task.turn(task.job.phase.ended() ? TaskPhase.DROPPED : TaskPhase.WAITING);
    ledger.changed(task.job);
    dirtyServices.add(task.job.service);
    JobRules.settleIfEnded(this, task.job);
  }
}
