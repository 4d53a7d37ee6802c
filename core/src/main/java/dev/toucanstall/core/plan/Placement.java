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

/** Decides which waiting task starts next, and where. */
final class Placement {

  private Placement() {}

  static void place(Plan plan, Now now) {
    if (plan.dirtyServices.isEmpty()) {
      return;
    }
    if (!plan.mayOrder(now)) {
      return;
    }
    List<String> services = List.copyOf(plan.dirtyServices);
    plan.dirtyServices.clear();
    services.forEach(service -> place(plan, service, now));
  }

  private static void place(Plan plan, String service, Now now) {
    Set<Job> ready = plan.readyByService.get(service);
    NavigableMap<Servers.FreeCapacity, Server> servers = plan.servers.byFreeCapacity(service);
    if (ready == null || ready.isEmpty() || servers.isEmpty()) {
      return;
    }
    Round round = new Round(plan, servers, now);
    ready.stream()
        .filter(j -> !j.phase.ended() && round.mayPlace(j))
        .map(j -> Ranked.of(plan, j, now))
        .sorted(Ranked.ORDER)
        .toList()
        .forEach(r -> round.place(r.job()));
  }

  /** A job with what decides its turn, worked out once a pass. */
  private record Ranked(
      Job job, int priority, boolean lasting, boolean beyondShare, boolean late, long objectiveMs) {

    /**
     * Lasting work first, then accounts within their share, then what can still meet its objective,
     * by objective.
     */
    static final Comparator<Ranked> ORDER =
        Comparator.comparingInt(Ranked::priority)
            .thenComparing(r -> !r.lasting)
            .thenComparing(Ranked::beyondShare)
            .thenComparing(Ranked::late)
            .thenComparingLong(Ranked::objectiveMs)
            .thenComparingLong(r -> r.job.number);

    static Ranked of(Plan plan, Job job, Now now) {
      Queue queue = plan.queue(job);
      int priority = queue == null ? Integer.MAX_VALUE : queue.priority();
      long ahead =
          job.phase == JobPhase.PENDING
              ? JobRules.chainMs(plan, job)
              : JobRules.chainLeftMs(plan, job, now);
      boolean late = now.wallMs() + ahead > job.objectiveMs;
      return new Ranked(job, priority, job.lasting, job.beyondShare, late, job.objectiveMs);
    }
  }

  /** One pass over the queue of a service. */
  private static final class Round {

    /** What it is worth that a backend server is near the data or the rest of the step. */
    static final long NEAR = 1_000_000L;

    final Plan plan;
    final Now now;

    /** The backend servers of the service, the fullest first. */
    final NavigableMap<Servers.FreeCapacity, Server> servers;

    /** The most that is free anywhere as the pass begins, in thousandths of a core. */
    final long mostFree;

    /** Needs for which no backend server has room; larger ones are not looked at again. */
    final List<Resources> tooLarge = new ArrayList<>();

    Round(Plan plan, NavigableMap<Servers.FreeCapacity, Server> servers, Now now) {
      this.plan = plan;
      this.servers = servers;
      this.now = now;
      this.mostFree = servers.lastKey().cpu();
    }

    /** Tells at little cost whether some task of a job may fit; most do not under a backlog. */
    boolean mayPlace(Job job) {
      List<StepSpec> steps = job.spec.steps();
      for (int k = 0; k < job.occurrences.size(); k++) {
        for (int s = 0; s < steps.size(); s++) {
          StepSpec step = steps.get(s);
          if (job.counts(k, s).waiting() > 0
              && step.reserved().cpu() <= mostFree
              && withinQuota(job, step.need())
              && job.open(k, s, now.wallMs())) {
            return true;
          }
        }
      }
      return false;
    }

    void place(Job job) {
      if (plan.queue(job) == null) {
        return;
      }
      for (int k = 0; k < job.occurrences.size(); k++) {
        List<List<Task>> steps = job.occurrences.get(k);
        for (int s = 0; s < steps.size(); s++) {
          if (job.counts(k, s).waiting() > 0 && job.open(k, s, now.wallMs())) {
            place(job, steps.get(s), waiting(steps.get(s)));
          }
        }
      }
    }

    private void place(Job job, List<Task> step, List<Task> waiting) {
      if (waiting.getFirst().step.gang()) {
        gang(step, waiting);
        return;
      }
      for (Task task : waiting) {
        if (!withinQuota(job, task.step.need())) {
          return;
        }
        Optional<Server> server = choose(step, task);
        if (server.isEmpty()) {
          return;
        }
        order(task, server.get());
      }
    }

    private static List<Task> waiting(List<Task> step) {
      List<Task> waiting = new ArrayList<>(step.size());
      for (Task task : step) {
        if (task.phase == TaskPhase.WAITING) {
          waiting.add(task);
        }
      }
      return waiting;
    }

    private boolean withinQuota(Job job, Resources need) {
      return plan.quotas.used(job.account).plus(need).isWithin(plan.quota(job.account));
    }

    /** Starts a gang only if all of it is unbound and fits. */
    private void gang(List<Task> step, List<Task> waiting) {
      if (waiting.size() < step.size()) {
        return;
      }
      long run = step.stream().mapToLong(t -> t.run).max().orElse(0);
      List<Task> ordered = new ArrayList<>();
      for (Task task : step) {
        task.run = run;
        Optional<Server> server =
            withinQuota(task.job, task.step.need()) ? choose(step, task) : Optional.empty();
        if (server.isEmpty()) {
          ordered.forEach(Task::unbind);
          ordered.forEach(t -> t.turn(TaskPhase.WAITING));
          return;
        }
        bind(task, server.get());
        ordered.add(task);
      }
      ordered.forEach(t -> OrderRules.startOnceStored(plan, t));
    }

    private void order(Task task, Server server) {
      bind(task, server);
      OrderRules.startOnceStored(plan, task);
    }

    private void bind(Task task, Server server) {
      task.run++;
      task.turn(TaskPhase.ORDERED);
      task.settledMs = 0;
      task.orderedMs = now.steadyMs();
      task.bind(server);
      task.job.begun();
      plan.ledger.changed(task.job);
    }

    private Optional<Server> choose(List<Task> step, Task task) {
      Resources need = task.step.reserved();
      for (Resources hopeless : tooLarge) {
        if (hopeless.fitsInto(need)) {
          return Optional.empty();
        }
      }
      boolean room = false;
      Server best = null;
      long most = Long.MIN_VALUE;
      long bonus = mostBonus(task.step);
      for (Server server : Servers.withRoom(servers, need.cpu())) {
        if (most >= bonus - server.freeCapacity().cpu()) {
          break;
        }
        plan.servers.looked();
        if (!server.takesTasks(now.steadyMs()) || !need.fitsInto(server.freeCapacity())) {
          continue;
        }
        room = true;
        long score = allowed(task, server) ? score(step, task, server) : Long.MIN_VALUE;
        if (score > most) {
          best = server;
          most = score;
        }
      }
      if (!room) {
        tooLarge.add(need);
      }
      return Optional.ofNullable(best);
    }

    /** What a backend server may be worth beside the little room that it has. */
    private static long mostBonus(StepSpec step) {
      return (step.rack().isEmpty() ? 0 : NEAR) + (step.sameRack() ? NEAR : 0);
    }

    private boolean allowed(Task task, Server server) {
      StepSpec spec = task.step;
      if (!spec.label().isEmpty() && !server.entry.labels().contains(spec.label())) {
        return false;
      }
      return spec.perServer() == 0 || task.counts.boundTo(server) < spec.perServer();
    }

    /**
     * Prefers backend servers that it has not failed on, near its data, away from tasks that would
     * disturb it or be disturbed, and little free, so that machines that are not needed go idle.
     */
    private long score(List<Task> step, Task task, Server server) {
      long score = -server.freeCapacity().cpu();
      if (task.avoid.contains(server.entry.id())) {
        score -= 1_000_000_000L;
      }
      if (disturbed(task.step, server)) {
        score -= 100_000_000L;
      }
      if (task.step.lasting() && holdsHalf(step.size(), task.counts.boundTo(server))) {
        score -= 20_000_000L;
      }
      if (task.step.lasting() && Maintenance.awaitsMaintenance(plan, server)) {
        score -= 10_000_000L;
      }
      if (!task.step.rack().isEmpty() && server.entry.labels().contains(task.step.rack())) {
        score += NEAR;
      }
      if (task.step.sameRack() && sharesRack(step, server)) {
        score += NEAR;
      }
      return score;
    }

    /** No more than half of a lasting step goes to one backend server if another has room. */
    private static boolean holdsHalf(int size, int there) {
      return size > 1 && 2 * (there + 1) > size + 1;
    }

    /** Tasks that fill disturb lasting ones that serve users of their own. */
    private static boolean disturbed(StepSpec step, Server server) {
      return step.fills() ? server.serving > 0 : step.lasting() && server.filling > 0;
    }

    private boolean sharesRack(List<Task> step, Server server) {
      return step.stream()
          .map(t -> t.server)
          .filter(s -> s != null)
          .anyMatch(s -> s.entry.labels().equals(server.entry.labels()));
    }
  }
}
