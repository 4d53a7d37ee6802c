package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.JobPhase;
import dev.toucanstall.core.job.Queue;
import dev.toucanstall.core.job.Resources;
import dev.toucanstall.core.job.StepSpec;
import dev.toucanstall.core.job.TaskPhase;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
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
    Set<Job> open = plan.openByService.get(service);
    if (open == null || open.isEmpty()) {
      return;
    }
    List<Server> servers =
        plan.servers.values().stream()
            .filter(s -> s.entry.service().equals(service) && s.takesTasks(now.steadyMs()))
            .toList();
    if (servers.isEmpty()) {
      return;
    }
    Round round = new Round(plan, servers, now);
    open.stream()
        .filter(j -> !j.phase.ended())
        .map(j -> Ranked.of(plan, j, now))
        .sorted(Ranked.ORDER)
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
            .thenComparingLong(Ranked::objectiveMs);

    static Ranked of(Plan plan, Job job, Now now) {
      Queue queue = plan.queue(job);
      int priority = queue == null ? Integer.MAX_VALUE : queue.priority();
      long ahead =
          job.phase == JobPhase.PENDING
              ? JobRules.chainMs(plan, job)
              : JobRules.chainLeftMs(plan, job, now);
      boolean late = now.wallMs() + ahead > job.objectiveMs;
      return new Ranked(job, priority, job.spec.lasting(), job.beyondShare, late, job.objectiveMs);
    }
  }

  /** One pass over the queue of a service. */
  private static final class Round {

    final Plan plan;
    final List<Server> servers;
    final Now now;

    /** Needs for which no backend server has room; larger ones are not looked at again. */
    final List<Resources> tooLarge = new ArrayList<>();

    Round(Plan plan, List<Server> servers, Now now) {
      this.plan = plan;
      this.servers = servers;
      this.now = now;
    }

    void place(Job job) {
      if (plan.queue(job) == null) {
        return;
      }
      for (int k = 0; k < job.occurrences.size(); k++) {
        List<List<Task>> steps = job.occurrences.get(k);
        for (int s = 0; s < steps.size(); s++) {
          List<Task> waiting = waiting(steps.get(s));
          if (!waiting.isEmpty() && job.open(k, s, now.wallMs())) {
            place(job, steps.get(s), waiting);
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
      List<Task> waiting = List.of();
      for (Task task : step) {
        if (task.phase == TaskPhase.WAITING) {
          waiting = waiting.isEmpty() ? new ArrayList<>(step.size()) : waiting;
          waiting.add(task);
        }
      }
      return waiting;
    }

    private boolean withinQuota(Job job, Resources need) {
      return plan.quotas.used(job.account).plus(need).keeps(plan.quota(job.account));
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
          ordered.forEach(t -> t.phase = TaskPhase.WAITING);
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
      task.phase = TaskPhase.ORDERED;
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
      for (Server server : servers) {
        if (!need.fitsInto(server.free())) {
          continue;
        }
        room = true;
        long score = allowed(step, task, server) ? score(step, task, server) : Long.MIN_VALUE;
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

    private boolean allowed(List<Task> step, Task task, Server server) {
      StepSpec spec = task.step;
      if (!spec.label().isEmpty() && !server.entry.labels().contains(spec.label())) {
        return false;
      }
      if (spec.perServer() == 0) {
        return true;
      }
      return step.stream().filter(t -> t.server == server).count() < spec.perServer();
    }

    /**
     * Prefers backend servers that it has not failed on, near its data, away from tasks that would
     * disturb it or be disturbed, and little free, so that machines that are not needed go idle.
     */
    private long score(List<Task> step, Task task, Server server) {
      long score = -server.free().cpu();
      if (task.avoid.contains(server.entry.id())) {
        score -= 1_000_000_000L;
      }
      if (server.tasks.stream().anyMatch(t -> disturbs(task, t))) {
        score -= 100_000_000L;
      }
      if (task.step.lasting() && holdsHalf(step, server)) {
        score -= 20_000_000L;
      }
      if (task.step.lasting() && Maintenance.awaitsMaintenance(plan, server)) {
        score -= 10_000_000L;
      }
      if (!task.step.rack().isEmpty() && server.entry.labels().contains(task.step.rack())) {
        score += 1_000_000L;
      }
      if (task.step.sameRack() && sharesRack(step, server)) {
        score += 1_000_000L;
      }
      return score;
    }

    /** No more than half of a lasting step goes to one backend server if another has room. */
    private static boolean holdsHalf(List<Task> step, Server server) {
      long there = step.stream().filter(t -> t.server == server).count();
      return step.size() > 1 && 2 * (there + 1) > step.size() + 1;
    }

    /** Tasks that fill disturb lasting ones that serve users of their own. */
    private static boolean disturbs(Task one, Task other) {
      boolean fills = one.step.fills() != other.step.fills();
      Task serves = one.step.fills() ? other : one;
      return fills && serves.step.lasting();
    }

    private boolean sharesRack(List<Task> step, Server server) {
      return step.stream()
          .map(t -> t.server)
          .filter(s -> s != null)
          .anyMatch(s -> s.entry.labels().equals(server.entry.labels()));
    }
  }
}
