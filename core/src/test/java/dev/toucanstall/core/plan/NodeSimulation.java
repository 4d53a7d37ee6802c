package dev.toucanstall.core.plan;

import dev.toucanstall.core.model.Address;
import dev.toucanstall.core.node.Leader;
import dev.toucanstall.core.node.NodeEffect;
import dev.toucanstall.core.node.NodeEvent;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;

/**
 * Simulates entry instances, their links and clients, the group and the elections in simulated
 * time, over the store and the backend servers of {@link PlanSimulation}.
 */
final class NodeSimulation {

  /** Time between SIGTERM and SIGKILL, in milliseconds. */
  static final long GRACE_PERIOD_MS = 6_000;

  private static final int PORT = 7_000;

  /**
   * Time after which a member of the group that hasn't renewed its membership is removed, in
   * milliseconds.
   */
  private static final long MEMBERSHIP_TTL_MS = 1_000;

  private static final long MIN_STORE_LATENCY_MS = 4;

  /** Store, backend servers and machines; also holds the simulated time. */
  final PlanSimulation platform;

  final Random random;

  /** Entry instances, terminated ones included until they are restarted. */
  final List<SimulatedInstance> instances = new ArrayList<>();

  final SimulatedClients clients = new SimulatedClients(this);

  /**
   * Time at which each job's completion was first logged, by the job's id, in milliseconds of the
   * monotonic clock.
   */
  final Map<String, Long> completionTimesMs = new LinkedHashMap<>();

  ProcessingTime processingTime = ProcessingTime.NONE;

  /**
   * Share of the replies to other entry instances that is dropped though the connection is open,
   * from 0 to 1.
   */
  double replyLossRate;

  long droppedMessages;

  /** Planner that the store names, null if there was none. */
  @Nullable Leader leader;

  /** Epoch of the last planner, 0 if there was none. */
  private long claimedEpoch;

  /** Processor capacity of the planner that the store names, in cores. */
  double leaderCores;

  /** Entry instance that the group names as candidate for planner, null if there is none. */
  private @Nullable SimulatedInstance groupCandidate;

  private long lastConnection;
  private int lastAddress;

  NodeSimulation(long seed) {
    platform = new PlanSimulation(seed);
    platform.renewalsWait = true;
    random = platform.random;
  }

  long nowMs() {
    return platform.now().steadyMs();
  }

  void after(long delayMs, Runnable action) {
    platform.after(delayMs, action);
  }

  /**
   * Schedules an action at a time, in milliseconds of the monotonic clock; at once if it has
   * passed.
   */
  void atTime(long timeMs, Runnable action) {
    platform.after(Math.max(0, timeMs - nowMs()), action);
  }

  void run(long durationMs) {
    platform.run(durationMs);
  }

  long networkDelayMs() {
    return 1 + random.nextInt(2);
  }

  long storeLatencyMs() {
    return MIN_STORE_LATENCY_MS + random.nextInt(4);
  }

  boolean dropsReply() {
    return replyLossRate > 0 && random.nextDouble() < replyLossRate;
  }

  long nextConnectionNumber() {
    return ++lastConnection;
  }

  SimulatedInstance startInstance(double cores) {
    String number = Integer.toString(++lastAddress);
    Address address = new Address("10.0.1." + number, PORT);
    SimulatedInstance instance = new SimulatedInstance(this, "n" + number, address, cores);
    instances.add(instance);
    return instance;
  }

  SimulatedInstance restartInstance(SimulatedInstance ended) {
    instances.remove(ended);
    SimulatedInstance instance =
        new SimulatedInstance(this, ended.name, ended.address, ended.cores);
    instances.add(instance);
    return instance;
  }

  /** Returns the running entry instance with an address, null if there is none. */
  @Nullable SimulatedInstance instanceAt(Address address) {
    return instances.stream()
        .filter(i -> !i.terminated && i.address.equals(address))
        .findFirst()
        .orElse(null);
  }

  boolean areConnected(SimulatedInstance first, SimulatedInstance second) {
    return !first.partitioned && !second.partitioned;
  }

  Stream<SimulatedInstance> runningInstances() {
    return instances.stream().filter(i -> !i.terminated);
  }

  /** Returns the entry instance that plans with the highest epoch, null if none plans. */
  @Nullable SimulatedInstance planner() {
    return runningInstances()
        .filter(i -> i.plan() != null)
        .max((a, b) -> Long.compare(epochOf(a), epochOf(b)))
        .orElse(null);
  }

  /** Returns the epoch of an entry instance that plans, 0 if it doesn't. */
  private static long epochOf(SimulatedInstance instance) {
    Plan plan = instance.plan();
    return plan == null ? 0 : plan.epoch();
  }

  /**
   * Returns a random entry instance as a load balancer would pick it: one that is ready, and not
   * the excluded one.
   *
   * @param excluded excluded entry instance, null to exclude none
   * @return the entry instance; any if none is ready
   */
  SimulatedInstance anyReady(@Nullable SimulatedInstance excluded) {
    List<SimulatedInstance> ready =
        runningInstances().filter(i -> i.ready && !i.partitioned && i != excluded).toList();
    List<SimulatedInstance> choices = ready.isEmpty() ? instances : ready;
    return choices.get(random.nextInt(choices.size()));
  }

  /** Records the completion of a job that a log event reports. */
  void logged(NodeEffect.Note logEvent) {
    if (logEvent.event().equals("job-ended")
        && "COMPLETED".equals(logEvent.fields().get("phase"))) {
      completionTimesMs.putIfAbsent(String.valueOf(logEvent.fields().get("job")), nowMs());
    }
  }

  // The group.

  void setGroupCandidate(SimulatedInstance instance) {
    groupCandidate = instance;
  }

  /**
   * Renews an entry instance's membership in the group; returns whether it is the candidate for
   * planner.
   */
  boolean join(SimulatedInstance instance) {
    instance.lastJoinedMs = nowMs();
    SimulatedInstance current = groupCandidate;
    if (current == null
        || current.terminated
        || nowMs() - current.lastJoinedMs > MEMBERSHIP_TTL_MS) {
      List<SimulatedInstance> members =
          runningInstances()
              .filter(i -> nowMs() - i.lastJoinedMs <= MEMBERSHIP_TTL_MS && !i.stopping)
              .toList();
      groupCandidate = members.isEmpty() ? null : members.get(random.nextInt(members.size()));
    }
    return groupCandidate == instance;
  }

  void leave(SimulatedInstance instance) {
    instance.lastJoinedMs = Long.MIN_VALUE / 2;
    if (groupCandidate == instance) {
      groupCandidate = null;
    }
  }

  // Elections and the announcement of the planner.

  /**
   * Tries to make an entry instance the planner: fences the last planner, reads the records, and
   * claims the epoch if no other instance has fenced a higher one since.
   */
  void elect(SimulatedInstance candidate, long lastEpoch) {
    if (candidate.storeRefused) {
      after(storeLatencyMs(), () -> candidate.post(new NodeEvent.NotElected("refused", null)));
      return;
    }
    if (!candidate.reachesStore()) {
      after(1_000, () -> candidate.post(new NodeEvent.NotElected("no answer", null)));
      return;
    }
    after(storeLatencyMs(), () -> claimEpoch(candidate, platform.fence(lastEpoch + 1)));
  }

  private void claimEpoch(SimulatedInstance candidate, long epoch) {
    long fencedMs = nowMs();
    after(
        2 * storeLatencyMs(),
        () -> {
          if (platform.lowestEpoch != epoch) {
            candidate.post(new NodeEvent.NotElected("another instance takes the epoch", null));
            return;
          }
          NodeEvent elected =
              new NodeEvent.Elected(
                  epoch, 1, platform.records(), claimedEpoch, fencedMs, platform.logEnd++);
          claimedEpoch = epoch;
          after(storeLatencyMs(), () -> candidate.post(elected));
        });
  }

  /** Stores the name of a planner; tries again while the planner is cut off. */
  void announce(SimulatedInstance planner, long epoch) {
    if (planner.partitioned || planner.storeRefused) {
      after(1_000, () -> announce(planner, epoch));
      return;
    }
    after(
        storeLatencyMs(),
        () -> storeLeader(new Leader(epoch, planner.name, planner.address), planner.cores));
  }

  /**
   * Stores the name of a planner unless a later epoch is stored; all entry instances then read it.
   */
  private void storeLeader(Leader newLeader, double cores) {
    if (leader == null || leader.epoch() < newLeader.epoch()) {
      leader = newLeader;
      leaderCores = cores;
      List.copyOf(instances).forEach(i -> after(storeLatencyMs(), i::readLeader));
    }
  }

  /**
   * Applies an action to each running entry instance, with a time between two of them, in
   * milliseconds.
   */
  void forEachWithDelay(long gapMs, Consumer<SimulatedInstance> action) {
    List<SimulatedInstance> running = runningInstances().toList();
    for (int i = 0; i < running.size(); i++) {
      SimulatedInstance instance = running.get(i);
      after(i * gapMs, () -> action.accept(instance));
    }
  }
}
