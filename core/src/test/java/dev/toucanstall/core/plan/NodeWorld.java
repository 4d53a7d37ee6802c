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
 * Entry instances, their links and clients, the group and the elections, in virtual time, over the
 * store and the backend servers of {@link PlanWorld}.
 */
final class NodeWorld {

  /** Time between SIGTERM and SIGKILL, in milliseconds. */
  static final long GRACE_MS = 6_000;

  private static final int PORT = 7_000;
  private static final long GROUP_TTL_MS = 1_000;
  private static final long STORE_MS = 4;

  final PlanWorld backend;
  final Random random;
  final List<NodeInstance> instances = new ArrayList<>();
  final NodeClients clients = new NodeClients(this);
  final Map<String, Long> completedMs = new LinkedHashMap<>();
  ServiceTime serviceTime = ServiceTime.NONE;

  /** Part of the replies to other entry instances that is dropped though the link lives. */
  double replyLoss;

  /** How many messages between entry instances were dropped. */
  long dropped;

  @Nullable Leader leader;
  private @Nullable NodeInstance holder;
  private long links;
  private int addresses;

  NodeWorld(long seed) {
    backend = new PlanWorld(seed);
    backend.holdsWait = true;
    random = backend.random;
  }

  long nowMs() {
    return backend.now().steadyMs();
  }

  void at(long inMs, Runnable action) {
    backend.at(inMs, action);
  }

  void atTime(long atMs, Runnable action) {
    backend.at(Math.max(0, atMs - nowMs()), action);
  }

  void run(long forMs) {
    backend.run(forMs);
  }

  /** Returns the way of a message between two entry instances, in milliseconds. */
  long hopMs() {
    return 1 + random.nextInt(2);
  }

  long storeMs() {
    return STORE_MS + random.nextInt(4);
  }

  boolean drops() {
    return replyLoss > 0 && random.nextDouble() < replyLoss;
  }

  long nextLink() {
    return ++links;
  }

  /** Starts an entry instance. */
  NodeInstance start(double cores) {
    String number = Integer.toString(++addresses);
    Address address = new Address("10.0.1." + number, PORT);
    NodeInstance instance = new NodeInstance(this, "n" + number, address, cores);
    instances.add(instance);
    return instance;
  }

  /** Starts a process again on the machine of one that is gone. */
  NodeInstance restart(NodeInstance old) {
    instances.remove(old);
    NodeInstance instance = new NodeInstance(this, old.name, old.address, old.cores);
    instances.add(instance);
    return instance;
  }

  @Nullable NodeInstance listening(Address address) {
    return instances.stream()
        .filter(i -> !i.gone && i.address.equals(address))
        .findFirst()
        .orElse(null);
  }

  /** Tells whether packets go between two entry instances. */
  boolean touches(NodeInstance one, NodeInstance other) {
    return !one.cut && !other.cut;
  }

  Stream<NodeInstance> alive() {
    return instances.stream().filter(i -> !i.gone);
  }

  /** Returns the entry instance that plans and that the store has confirmed, if there is one. */
  @Nullable NodeInstance planner() {
    return alive()
        .filter(i -> i.plan() != null)
        .max((a, b) -> Long.compare(epochOf(a), epochOf(b)))
        .orElse(null);
  }

  private static long epochOf(NodeInstance instance) {
    Plan plan = instance.plan();
    return plan == null ? 0 : plan.epoch();
  }

  /** Returns an entry instance that the balancer would pick, another one if there is one. */
  NodeInstance anyReady(@Nullable NodeInstance but) {
    List<NodeInstance> ready = alive().filter(i -> i.ready && !i.cut && i != but).toList();
    List<NodeInstance> from = ready.isEmpty() ? instances : ready;
    return from.get(random.nextInt(from.size()));
  }

  void noted(NodeEffect.Note note) {
    if (note.event().equals("job-ended") && "COMPLETED".equals(note.fields().get("phase"))) {
      completedMs.putIfAbsent(String.valueOf(note.fields().get("job")), nowMs());
    }
  }

  // The group.

  /** Lets the group name an entry instance as the one that should plan, unasked. */
  void assign(NodeInstance instance) {
    holder = instance;
  }

  /** Keeps an entry instance in the group; tells whether it should plan. */
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

  void leave(NodeInstance instance) {
    instance.joinedMs = Long.MIN_VALUE / 2;
    if (holder == instance) {
      holder = null;
    }
  }

  // Elections and the topic that names the planner.

  /** Fences the last planner, reads the records, and claims the epoch if nobody else did. */
  void elect(NodeInstance candidate, long lastEpoch) {
    if (candidate.cut || !backend.storeUp) {
      at(1_000, () -> candidate.post(new NodeEvent.NotElected("no answer", null)));
      return;
    }
    at(storeMs(), () -> claim(candidate, backend.fence(lastEpoch + 1)));
  }

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

  void announce(NodeInstance planner, long epoch) {
    if (planner.cut) {
      at(1_000, () -> announce(planner, epoch));
      return;
    }
    at(storeMs(), () -> announced(new Leader(epoch, planner.name, planner.address)));
  }

  private void announced(Leader named) {
    if (leader == null || leader.epoch() < named.epoch()) {
      leader = named;
      List.copyOf(instances).forEach(i -> at(storeMs(), i::readLeader));
    }
  }

  /** Does something with every entry instance, each after the last by a time. */
  void oneAfterTheOther(long gapMs, Consumer<NodeInstance> action) {
    List<NodeInstance> all = alive().toList();
    for (int i = 0; i < all.size(); i++) {
      NodeInstance each = all.get(i);
      at(i * gapMs, () -> action.accept(each));
    }
  }
}
