package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.JobPhase;
import dev.toucanstall.core.job.Queue;
import dev.toucanstall.core.job.Resources;
import dev.toucanstall.core.job.StepSpec;
import dev.toucanstall.core.job.TaskPhase;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.Set;

/** Decides which waiting task starts next, and on which backend server. */
final class Placement {

  private Placement() {}

  /**
   * Places the waiting tasks of all services that are marked for placement, if the planner may
   * issue orders.
   */
  static void place(Plan plan, Now now) {
    if (plan.servicesToPlace.isEmpty()) {
      return;
    }
    if (!plan.mayIssueOrders(now) || !plan.orders.takesStarts()) {
      return;
    }
    List<String> services = List.copyOf(plan.servicesToPlace);
    plan.servicesToPlace.clear();
    services.forEach(service -> place(plan, service, now));
  }

  /** Places the waiting tasks of one service. */
  private static void place(Plan plan, String service, Now now) {
    Set<Job> ready = plan.openJobs.readyOfService(service);
    NavigableMap<Servers.FreeCapacity, Server> servers = plan.servers.byFreeCapacity(service);
    if (ready.isEmpty() || servers.isEmpty()) {
      return;
    }
    Pass pass = new Pass(plan, servers, now);
    ready.stream()
        .filter(j -> !j.phase.ended() && pass.mayFit(j))
        .map(j -> RankedJob.of(plan, j, now))
        .sorted(RankedJob.ORDER)
        .toList()
        .forEach(r -> pass.place(r.job()));
  }

  /**
   * Job with the criteria of its rank, which are computed once a pass.
   *
   * @param job the job
   * @param priority priority of the queue, 0 is the most urgent
   * @param lasting whether the job is lasting
   * @param beyondShare whether the client account had used up its share
   * @param late whether the job can no longer meet its objective
   * @param objectiveMs objective in Unix milliseconds
   */
  private record RankedJob(
      Job job, int priority, boolean lasting, boolean beyondShare, boolean late, long objectiveMs) {

    /**
     * Order of placement: by priority, then lasting jobs first, then jobs within their account's
     * share, then jobs that can still meet their objective, then by objective.
     */
    static final Comparator<RankedJob> ORDER =
        Comparator.comparingInt(RankedJob::priority)
            .thenComparing(r -> !r.lasting)
            .thenComparing(RankedJob::beyondShare)
            .thenComparing(RankedJob::late)
            .thenComparingLong(RankedJob::objectiveMs)
            .thenComparingLong(r -> r.job.sequence);

    static RankedJob of(Plan plan, Job job, Now now) {
      Queue queue = plan.queue(job);
      int priority = queue == null ? Integer.MAX_VALUE : queue.priority();
      long remainingMs =
          job.phase == JobPhase.PENDING
              ? JobRules.criticalPathMs(plan, job)
              : JobRules.remainingCriticalPathMs(plan, job, now);
      boolean late = now.wallMs() + remainingMs > job.objectiveMs;
      return new RankedJob(job, priority, job.lasting, job.beyondShare, late, job.objectiveMs);
    }
  }

  /** Placement pass over the queues of one service. */
  private static final class Pass {

    /**
     * Score of a backend server that is near the task's data or near the rest of its step. Larger
     * than any free capacity in thousandths of a core.
     */
    static final long LOCALITY_BONUS = 1_000_000L;

    final Plan plan;

    final Now now;

    /** Backend servers of the service, the least free capacity first. */
    final NavigableMap<Servers.FreeCapacity, Server> servers;

    /**
     * Largest free capacity of any backend server at the start of the pass, in thousandths of a
     * core.
     */
    final long maxFreeCpu;

    /** Needs that fit no backend server; needs that are as large or larger are not tried again. */
    final List<Resources> unplaceableNeeds = new ArrayList<>();

    /** Creates a pass over backend servers, of which there is at least one. */
    Pass(Plan plan, NavigableMap<Servers.FreeCapacity, Server> servers, Now now) {
      this.plan = plan;
      this.servers = servers;
      this.now = now;
      this.maxFreeCpu = servers.lastKey().cpu();
    }

    /**
     * Returns by a cheap check whether some task of a job may fit. Under a backlog most jobs fail
     * it.
     */
    boolean mayFit(Job job) {
      for (JobBacklog.Step step : job.backlog.steps()) {
        StepSpec spec = job.spec.steps().get(step.number);
        if (step.startable() > 0
            && spec.reserved().cpu() <= maxFreeCpu
            && StartConditions.isWithinQuota(plan, job, spec.need())) {
          return true;
        }
      }
      return false;
    }

    /** Places the waiting tasks of all ready steps of a job. */
    void place(Job job) {
      if (plan.queue(job) != null) {
        job.backlog.visitStartable(
            step -> job.isDue(step.occurrence.number, now.wallMs()) && place(job, step));
      }
    }

    /**
     * Places the waiting tasks of a step, until one does not fit. Returns whether tasks of the same
     * step of later occurrences may fit: they have the same needs, but their own limit of tasks on
     * each backend server.
     */
    private boolean place(Job job, StepTasks step) {
      boolean limitedByOccurrence = step.spec.perServer() > 0;
      if (step.spec.gang()) {
        return placeGang(step) || limitedByOccurrence;
      }
      Optional<Task> waiting = step.firstWaiting();
      while (waiting.isPresent()) {
        Task task = waiting.get();
        if (!StartConditions.isWithinQuota(plan, task)) {
          return false;
        }
        if (plan.orders.isFull()) {
          plan.servicesToPlace.add(job.service);
          return false;
        }
        Optional<Server> server = serverOfUnaccountedStart(task).or(() -> chooseServer(step, task));
        if (server.isEmpty()) {
          return limitedByOccurrence;
        }
        startOn(task, server.get());
        waiting = step.firstWaiting();
      }
      return true;
    }

    /**
     * Starts a gang if none of its tasks is bound and all of them fit; all get the same run number.
     * Returns false if they don't fit.
     */
    private boolean placeGang(StepTasks step) {
      if (step.counts.waiting() < step.size()) {
        return true;
      }
      List<Task> tasks = step.all();
      long run = tasks.stream().mapToLong(t -> t.run).max().orElse(0);
      List<Task> ordered = new ArrayList<>();
      for (Task task : tasks) {
        task.run = run;
        Optional<Server> server =
            StartConditions.isWithinQuota(plan, task) ? chooseServer(step, task) : Optional.empty();
        if (server.isEmpty()) {
          ordered.forEach(Task::unbind);
          ordered.forEach(t -> t.setPhase(TaskPhase.WAITING));
          return false;
        }
        bind(task, server.get());
        ordered.add(task);
      }
      ordered.forEach(t -> OrderRules.startOnceStored(plan, t));
      return true;
    }

    /** Binds a task to a backend server and orders its start. */
    private void startOn(Task task, Server server) {
      bind(task, server);
      OrderRules.startOnceStored(plan, task);
    }

    /** Binds a task to a backend server for a new run. */
    private void bind(Task task, Server server) {
      task.run++;
      task.startFrom(task.checkpoint());
      task.setPhase(TaskPhase.ORDERED);
      task.absenceConclusiveAfterMs = 0;
      task.orderedMs = now.steadyMs();
      task.bind(server);
      if (task.step.lasting() && task.run > 1) {
        server.checkLiveness();
      }
      task.job.markRunning();
      plan.ledger.changed(task.job);
    }

    /**
     * Returns the backend server at which a start of an earlier run of a task may yet arrive, if
     * the task may start there; else empty. While the next run is there, its incarnation refuses
     * that start, and the next run's release waits for the leases of any later one.
     */
    private Optional<Server> serverOfUnaccountedStart(Task task) {
      return task.run == 0
          ? Optional.empty()
          : plan.unaccountedStarts
              .serverOf(task.key, now.steadyMs())
              .map(plan.servers::get)
              .filter(s -> StartConditions.canTake(task, s, now))
              .filter(s -> StartConditions.isSuitable(task, s) && !task.avoids(s));
    }

    /**
     * Returns the backend server with the best score for a task, or empty if none is allowed.
     *
     * <p>The score of a backend server is at most its bonus minus its free capacity. The search
     * goes by rising free capacity and ends as soon as no further backend server can be better.
     */
    private Optional<Server> chooseServer(StepTasks step, Task task) {
      Resources need = task.step.reserved();
      for (Resources unplaceable : unplaceableNeeds) {
        if (unplaceable.fitsInto(need)) {
          return Optional.empty();
        }
      }
      boolean anyFits = false;
      Server best = null;
      long bestScore = Long.MIN_VALUE;
      long maxBonus = maxBonus(task.step);
      for (Server server : Servers.withFreeCpu(servers, need.cpu())) {
        if (bestScore >= maxBonus - server.freeCapacity().cpu()) {
          break;
        }
        plan.servers.countExamined();
        boolean takesStart = task.step.gang() || plan.orders.takesStart(server);
        if (!takesStart || !StartConditions.canTake(task, server, now)) {
          continue;
        }
        anyFits = true;
        long score =
            StartConditions.isSuitable(task, server) ? score(step, task, server) : Long.MIN_VALUE;
        if (score > bestScore) {
          best = server;
          bestScore = score;
        }
      }
      if (!anyFits) {
        unplaceableNeeds.add(need);
      }
      return Optional.ofNullable(best);
    }

    /** Returns the largest bonus that a backend server can get for a step. */
    private static long maxBonus(StepSpec step) {
      return (step.rack().isEmpty() ? 0 : LOCALITY_BONUS) + (step.sameRack() ? LOCALITY_BONUS : 0);
    }

    /**
     * Returns the score of a backend server for a task; the highest is chosen.
     *
     * <p>Prefers, in this order, a backend server on which the task has not failed, where it
     * neither disturbs other tasks nor is disturbed, on which no run has failed if one of the task
     * has, which leaves half of a lasting step elsewhere, whose machine does not await maintenance,
     * which is near the data or the step's other tasks, and which has the least free capacity, so
     * that machines that are not needed become idle.
     */
    private long score(StepTasks step, Task task, Server server) {
      long score = -server.freeCapacity().cpu();
      if (task.avoids(server)) {
        score -= 1_000_000_000L;
      }
      if (interferes(task.step, server)) {
        score -= 100_000_000L;
      }
      if (task.failures > 0 && server.failures.mayBeAtFault()) {
        score -= 50_000_000L;
      }
      if (task.step.lasting() && exceedsHalf(step.size(), step.counts.boundTo(server))) {
        score -= 20_000_000L;
      }
      if (task.step.lasting() && Maintenance.awaitsMaintenance(plan, server)) {
        score -= 10_000_000L;
      }
      if (!task.step.rack().isEmpty() && server.entry.labels().contains(task.step.rack())) {
        score += LOCALITY_BONUS;
      }
      if (task.step.sameRack() && sharesRack(step, server)) {
        score += LOCALITY_BONUS;
      }
      return score;
    }

    /**
     * Returns whether a backend server would get more than half of a lasting step. The step would
     * then lose most of its tasks with that backend server.
     */
    private static boolean exceedsHalf(int size, int boundThere) {
      return size > 1 && 2 * (boundThere + 1) > size + 1;
    }

    /**
     * Returns whether a task and tasks on a backend server would disturb each other: filling tasks,
     * which use processors that others leave idle, disturb lasting tasks that serve users.
     */
    private static boolean interferes(StepSpec step, Server server) {
      return step.fills() ? server.servingTasks > 0 : step.lasting() && server.fillingTasks > 0;
    }

    /**
     * Returns whether another task of the step is on a backend server with the same labels, thus on
     * the same rack.
     */
    private boolean sharesRack(StepTasks step, Server server) {
      return step.present()
          .map(t -> t.server)
          .filter(s -> s != null)
          .anyMatch(s -> s.entry.labels().equals(server.entry.labels()));
    }
  }
}
