package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.JobAnswer;
import dev.toucanstall.core.job.JobCall;
import dev.toucanstall.core.job.JobPhase;
import dev.toucanstall.core.job.StepSpec;
import dev.toucanstall.core.job.TaskKey;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;

/**
 * Observes a {@link LateOrderSeries}: how long lasting tasks are without a run, whether accepted
 * jobs complete, and when a planner was last in contact with the backend server of the late order.
 * Times are in milliseconds of the monotonic clock.
 */
final class LateOrderMonitor {

  /** Time between two observations, in milliseconds. */
  static final long INTERVAL_MS = 20;

  /** Words by which a violation names a lasting task that was without a run for too long. */
  static final String OUTAGE = "without a run";

  /** Start of the names of jobs that are not traced. */
  static final String SHORT_JOB = "short";

  /**
   * Longest time for which a lasting task may be without a run after the last disruption, in
   * milliseconds.
   */
  private static final long MAX_OUTAGE_MS = 11_000;

  /**
   * A run on a backend server.
   *
   * @param server id and start time of the backend server
   * @param task the task
   * @param number number of the run
   */
  private record SeenRun(String server, TaskKey task, long number) {

    @Override
    public String toString() {
      return "run %d of %s on %s".formatted(number, name(task), server);
    }
  }

  /**
   * Something that happened.
   *
   * @param text what happened, with its time in milliseconds after the late order
   * @param job job that it concerns, empty if it concerns all
   */
  private record TraceLine(String text, String job) {}

  private final PlanSimulation sim;
  private final Map<String, Long> callsByJob = new LinkedHashMap<>();
  private final Set<TaskKey> lastingTasks = new LinkedHashSet<>();
  private final Map<TaskKey, Long> withoutRunSinceMs = new HashMap<>();
  private final Set<TaskKey> tasksThatRan = new LinkedHashSet<>();
  private final Set<TaskKey> reportedOutages = new LinkedHashSet<>();
  private final List<String> outages = new ArrayList<>();
  private final List<TraceLine> trace = new ArrayList<>();
  private Set<SeenRun> seenRuns = Set.of();
  private long orderedMs;
  private boolean disrupted;
  private long lastDisruptionMs;
  private long lastListsMs;
  private long lastContactMs;

  LateOrderMonitor(PlanSimulation sim) {
    this.sim = sim;
  }

  /** Returns the short name of a task of these series, whose jobs have one step. */
  static String name(TaskKey task) {
    return task.job() + "." + task.index();
  }

  private long nowMs() {
    return sim.now().steadyMs();
  }

  /** Submits a job of one step and observes it from then on. */
  void submit(String job, StepSpec step) {
    callsByJob.put(job, sim.submit(job, step));
    if (step.lasting()) {
      IntStream.range(0, step.count())
          .mapToObj(i -> new TaskKey(job, 0, 0, i))
          .forEach(lastingTasks::add);
    }
  }

  int submittedJobs() {
    return callsByJob.size();
  }

  /** Takes note that the late order is sent now; the trace begins here. */
  void ordered(String order) {
    trace.clear();
    orderedMs = nowMs();
    seenRuns.forEach(run -> note("active", run));
    note(order);
  }

  /** Adds a line to the trace. */
  void note(String event) {
    addLine(event, "");
  }

  private void note(String event, SeenRun run) {
    addLine(event + ": " + run, run.task().job());
  }

  private void addLine(String text, String job) {
    trace.add(new TraceLine("%+d ms: %s".formatted(nowMs() - orderedMs, text), job));
  }

  /** Takes note of a disruption that is over at once. */
  void disrupt(String fault) {
    lastDisruptionMs = nowMs();
    note(fault);
  }

  /** Takes note of the start or the end of a disruption that lasts. */
  void setDisrupted(boolean active, String fault) {
    disrupted = active;
    disrupt(fault);
  }

  /** Observes runs and outages. */
  void observe() {
    observeRuns();
    if (disrupted) {
      lastDisruptionMs = nowMs();
    }
    lastingTasks.forEach(this::observeOutage);
  }

  private void observeRuns() {
    Set<SeenRun> present = new LinkedHashSet<>();
    for (SimulatedServer server : sim.servers.values()) {
      String incarnation = server.id + "/" + server.startTimeMs;
      server.running.entrySet().stream()
          .filter(run -> !run.getKey().job().startsWith(SHORT_JOB))
          .map(run -> new SeenRun(incarnation, run.getKey(), run.getValue().number()))
          .forEach(present::add);
    }
    seenRuns.stream().filter(run -> !present.contains(run)).forEach(run -> note("ends", run));
    present.stream().filter(run -> !seenRuns.contains(run)).forEach(run -> note("begins", run));
    present.forEach(run -> tasksThatRan.add(run.task()));
    seenRuns = present;
  }

  private boolean isAccepted(String job) {
    return new JobAnswer.Accepted().equals(sim.answers.get(callsByJob.getOrDefault(job, 0L)));
  }

  private void observeOutage(TaskKey task) {
    boolean runs = sim.servers.values().stream().anyMatch(s -> s.running.containsKey(task));
    if (runs || !isAccepted(task.job())) {
      withoutRunSinceMs.remove(task);
      return;
    }
    long sinceMs = withoutRunSinceMs.computeIfAbsent(task, t -> nowMs());
    long calmSinceMs = Math.max(sinceMs, lastDisruptionMs);
    if (nowMs() > calmSinceMs + MAX_OUTAGE_MS && reportedOutages.add(task)) {
      outages.add(
          "%s %s, %s, no disruption since %+d ms"
              .formatted(
                  name(task),
                  OUTAGE,
                  tasksThatRan.contains(task) ? "has run before" : "has never run",
                  calmSinceMs - orderedMs));
    }
  }

  /**
   * Observes contacts of the planner with a backend server: it could be called, or a later
   * incarnation has answered a request for its lists.
   */
  void observeContact(SimulatedServer server) {
    PlanSimulation.Planner planner = sim.planner;
    if (planner == null || !planner.active) {
      return;
    }
    if (server.up && server.reachable) {
      lastContactMs = nowMs();
    }
    Server known = planner.plan.servers.get(server.id);
    if (known != null && known.listRequestedMs > lastListsMs) {
      lastListsMs = known.listRequestedMs;
      lastContactMs = nowMs();
    }
  }

  /** Returns the time of the last contact that was observed. */
  long lastContactMs() {
    return lastContactMs;
  }

  /**
   * Returns the violations: two runs of a task at once, a lasting task without a run for too long,
   * and accepted jobs that haven't completed by now.
   */
  List<String> violations() {
    List<String> violations = new ArrayList<>(sim.violations);
    violations.addAll(outages);
    callsByJob.keySet().stream()
        .filter(job -> isAccepted(job) && lastingTasks.stream().noneMatch(t -> t.job().equals(job)))
        .forEach(job -> addIfIncomplete(job, violations));
    return violations;
  }

  private void addIfIncomplete(String job, List<String> violations) {
    long callId = sim.call(new JobCall.Show(job, PlanSimulation.QUEUE));
    sim.run(INTERVAL_MS);
    JobAnswer answer = sim.answers.get(callId);
    if (!new JobAnswer.Shown(JobPhase.COMPLETED).equals(answer)) {
      violations.add("accepted job " + job + ": " + answer);
    }
  }

  /** Returns the faults, and the runs of the jobs that violations name, oldest first. */
  List<String> trace(List<String> violations) {
    return trace.stream()
        .filter(line -> violations.stream().anyMatch(v -> v.contains(line.job())))
        .map(TraceLine::text)
        .toList();
  }
}
