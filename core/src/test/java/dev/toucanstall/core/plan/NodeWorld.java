package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.JobRecord;
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
 * Simulates entry instances, their links and clients, the group and the elections in virtual time,
 * over the store and the backend servers of {@link PlanWorld}.
 */
final class NodeWorld {

  /** Time between SIGTERM and SIGKILL, in milliseconds. */
  static final long GRACE_MS = 6_000;

  /** Port of every entry instance. */
  private static final int PORT = 7_000;

  /**
   * Time after which a member of the group that hasn't renewed its membership is removed, in
   * milliseconds.
   */
  private static final long GROUP_TTL_MS = 1_000;

  /** Shortest latency of the store, in milliseconds. */
  private static final long STORE_MS = 4;

  /** Store, backend servers and machines; also holds the virtual time. */
  final PlanWorld backend;

  /** Source of random numbers. */
  final Random random;

  /** Entry instances, terminated ones included until they are restarted. */
  final List<NodeInstance> instances = new ArrayList<>();

  /** Clients. */
  final NodeClients clients = new NodeClients(this);

  /**
   * Time at which each job's completion was first logged, by the job's id, in milliseconds of the
   * steady clock.
   */
  final Map<String, Long> completedMs = new LinkedHashMap<>();

  /** Processing time of events. */
  ServiceTime serviceTime = ServiceTime.NONE;

  /**
   * Share of the replies to other entry instances that is dropped though the connection is open,
   * from 0 to 1.
   */
  double replyLoss;

  /** Number of messages between entry instances that were dropped. */
  long dropped;

  /** Planner that the store names, null if there was none. */
  @Nullable Leader leader;

  /** Entry instance that the group names as candidate for planner, null if there is none. */
  private @Nullable NodeInstance holder;

  /** Number of the last connection. */
  private long links;

  /** Number of the last address. */
  private int addresses;

  /** Creates a simulation without entry instances and backend servers. */
  NodeWorld(long seed) {
    backend = new PlanWorld(seed);
    backend.holdsWait = true;
    random = backend.random;
  }

  /** Returns the time, in milliseconds of the steady clock. */
  long nowMs() {
    return backend.now().steadyMs();
  }

  /** Schedules an action after a delay, in milliseconds. */
  void at(long inMs, Runnable action) {
    backend.at(inMs, action);
  }

  /**
   * Schedules an action at a time, in milliseconds of the steady clock; at once if it has passed.
   */
  void atTime(long atMs, Runnable action) {
    backend.at(Math.max(0, atMs - nowMs()), action);
  }

  /** Lets time pass, in milliseconds. */
  void run(long forMs) {
    backend.run(forMs);
  }

  /** Returns a random network delay between two entry instances, in milliseconds. */
  long hopMs() {
    return 1 + random.nextInt(2);
  }

  /** Returns a random latency of the store, in milliseconds. */
  long storeMs() {
    return STORE_MS + random.nextInt(4);
  }

  /** Tells at random whether a reply is dropped. */
  boolean drops() {
    return replyLoss > 0 && random.nextDouble() < replyLoss;
  }

  /** Returns the number of the next connection. */
  long nextLink() {
    return ++links;
  }

  /** Starts an entry instance with some processor time a second, in cores. */
  NodeInstance start(double cores) {
    String number = Integer.toString(++addresses);
    Address address = new Address("10.0.1." + number, PORT);
    NodeInstance instance = new NodeInstance(this, "n" + number, address, cores);
    instances.add(instance);
    return instance;
  }

  /** Starts the process of an entry instance again. */
  NodeInstance restart(NodeInstance old) {
    instances.remove(old);
    NodeInstance instance = new NodeInstance(this, old.name, old.address, old.cores);
    instances.add(instance);
    return instance;
  }

  /** Returns the running entry instance with an address, null if there is none. */
  @Nullable NodeInstance listening(Address address) {
    return instances.stream()
        .filter(i -> !i.gone && i.address.equals(address))
        .findFirst()
        .orElse(null);
  }

  /** Tells whether the network connects two entry instances. */
  boolean touches(NodeInstance one, NodeInstance other) {
    return !one.cut && !other.cut;
  }

  /** Returns the running entry instances. */
  Stream<NodeInstance> alive() {
    return instances.stream().filter(i -> !i.gone);
  }

  /** Returns the entry instance that plans with the highest epoch, null if none plans. */
  @Nullable NodeInstance planner() {
    return alive()
        .filter(i -> i.plan() != null)
        .max((a, b) -> Long.compare(epochOf(a), epochOf(b)))
        .orElse(null);
  }

  /** Returns the epoch of an entry instance that plans, 0 if it doesn't. */
  private static long epochOf(NodeInstance instance) {
    Plan plan = instance.plan();
    return plan == null ? 0 : plan.epoch();
  }

  /**
   * Returns a random entry instance as a load balancer would pick it: one that is ready, and not
   * the excluded one.
   *
   * @param but excluded entry instance, null to exclude none
   * @return the entry instance; any if none is ready
   */
  NodeInstance anyReady(@Nullable NodeInstance but) {
    List<NodeInstance> ready = alive().filter(i -> i.ready && !i.cut && i != but).toList();
    List<NodeInstance> from = ready.isEmpty() ? instances : ready;
    return from.get(random.nextInt(from.size()));
  }

  /** Takes a log event. */
  void noted(NodeEffect.Note note) {
    if (note.event().equals("job-ended") && "COMPLETED".equals(note.fields().get("phase"))) {
      completedMs.putIfAbsent(String.valueOf(note.fields().get("job")), nowMs());
    }
  }

  // The group.

  /** Makes the group name an entry instance as candidate for planner. */
  void assign(NodeInstance instance) {
    holder = instance;
  }

  /**
   * Renews an entry instance's membership in the group; returns whether it is the candidate for
   * planner.
   */
  boolean join(NodeInstance instance) {
    instance.joinedMs = nowMs();
    NodeInstance held = holder;
    if (held == null || held.gone || nowMs() - held.joinedMs > GROUP_TTL_MS) {
      List<NodeInstance> members =
          alive().filter(i -> nowMs() - i.joinedMs <= GROUP_TTL_MS && !i.stopping).toList();
      holder = members.isEmpty() ? null : members.get(random.nextInt(members.size()));
    }
    return holder == instance;
  }

  /** Removes an entry instance from the group. */
  void leave(NodeInstance instance) {
    instance.joinedMs = Long.MIN_VALUE / 2;
    if (holder == instance) {
      holder = null;
    }
  }

  // Elections and the announcement of the planner.

  /**
   * Tries to make an entry instance the planner: fences the last planner, reads the records, and
   * claims the epoch if no other instance has claimed a higher one.
   */
  void elect(NodeInstance candidate, long lastEpoch) {
    if (candidate.cut || !backend.storeUp) {
      at(1_000, () -> candidate.post(new NodeEvent.NotElected("no answer", null)));
      return;
    }
    at(storeMs(), () -> claim(candidate, backend.fence(lastEpoch + 1)));
  }

  /** Claims an epoch that was used to fence the last planner. */
  private void claim(NodeInstance candidate, long epoch) {
    at(
        2 * storeMs(),
        () -> {
          if (backend.fencedBelow != epoch) {
            candidate.post(new NodeEvent.NotElected("another instance takes the epoch", null));
            return;
          }
          List<JobRecord> records = backend.records();
          at(storeMs(), () -> candidate.post(new NodeEvent.Elected(epoch, 1, records)));
        });
  }

  /** Stores the name of a planner; tries again while the planner is cut off. */
  void announce(NodeInstance planner, long epoch) {
    if (planner.cut) {
      at(1_000, () -> announce(planner, epoch));
      return;
    }
    at(storeMs(), () -> announced(new Leader(epoch, planner.name, planner.address)));
  }

  /** Takes the name of a planner, which the entry instances then read. */
  private void announced(Leader named) {
    if (leader == null || leader.epoch() < named.epoch()) {
      leader = named;
      List.copyOf(instances).forEach(i -> at(storeMs(), i::readLeader));
    }
  }

  /**
   * Applies an action to each running entry instance, with a time between two of them, in
   * milliseconds.
   */
  void oneAfterTheOther(long gapMs, Consumer<NodeInstance> action) {
    List<NodeInstance> all = alive().toList();
    for (int i = 0; i < all.size(); i++) {
      NodeInstance each = all.get(i);
      at(i * gapMs, () -> action.accept(each));
    }
  }
}
