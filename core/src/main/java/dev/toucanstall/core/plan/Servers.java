package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.Resources;
import dev.toucanstall.core.job.ServerEntry;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;

/**
 * Index of the backend servers by id, by service and by free capacity, and of those that are marked
 * for a renewal check, so that an event about one does not cost a search over all.
 *
 * <p>Counts the backend servers that are examined one by one. Owned by the control thread.
 */
final class Servers {

  /**
   * Key that orders backend servers by free capacity, the least first, and those with the same free
   * capacity by the time for which they have been known, the longest first.
   *
   * @param cpu free capacity in thousandths of a core
   * @param sequence number in the order in which this planner learned of its backend servers
   */
  record FreeCapacity(long cpu, long sequence) implements Comparable<FreeCapacity> {

    static FreeCapacity of(Server server) {
      return new FreeCapacity(server.freeCapacity().cpu(), server.sequence);
    }

    @Override
    public int compareTo(FreeCapacity other) {
      return cpu == other.cpu
          ? Long.compare(sequence, other.sequence)
          : Long.compare(cpu, other.cpu);
    }
  }

  /** All backend servers by id. */
  private final Map<String, Server> byId = new LinkedHashMap<>();

  /** Backend servers by service. */
  private final Map<String, Set<Server>> byService = new HashMap<>();

  /** Backend servers by service, in the order of their free capacity. */
  private final Map<String, NavigableMap<FreeCapacity, Server>> byFreeCapacity = new HashMap<>();

  /** Backend servers whose tasks must leave. */
  private final Set<Server> leaving = new LinkedHashSet<>();

  /** Backend servers that are marked for the next check of lease renewals. */
  private Set<Server> dueForRenewal = new LinkedHashSet<>();

  /** Capacity of the largest backend server, null if it must be computed anew. */
  private @Nullable Resources largestCapacity;

  private final IncarnationHistory incarnations = new IncarnationHistory();

  private long nextSequence;

  private long examined;

  /** Returns the total number of backend servers that searches have examined in this term. */
  long examined() {
    return examined;
  }

  void countExamined() {
    examined++;
  }

  /** Returns a backend server by its id, null if it is unknown. */
  @Nullable Server get(String id) {
    return byId.get(id);
  }

  int size() {
    return byId.size();
  }

  boolean containsKey(String id) {
    return byId.containsKey(id);
  }

  /** Returns a backend server by its id, or adds a new one if it is unknown. */
  Server computeIfAbsent(String id, Function<String, Server> factory) {
    Server existing = byId.get(id);
    if (existing != null) {
      return existing;
    }
    Server created = factory.apply(id);
    put(created);
    return created;
  }

  /** Adds a backend server and marks it for a renewal check. */
  void put(Server server) {
    server.sequence = nextSequence++;
    byId.put(server.entry.id(), server);
    server.containingIndex = this;
    recordIncarnation(server);
    addToIndexes(server);
    markForRenewal(server);
  }

  /** Records the incarnation of a backend server that was added or has started again. */
  void recordIncarnation(Server server) {
    server.formerIncarnations = incarnations.record(server.entry.id(), server.entry.startTimeMs());
    if (server.formerIncarnations > 0) {
      server.leases.formerIncarnationKnown();
    }
  }

  /** Returns whether an entry is of an incarnation that was replaced under its id. */
  boolean isFormerIncarnation(ServerEntry entry) {
    return incarnations.isFormer(entry.id(), entry.startTimeMs());
  }

  void remove(String id) {
    Server server = byId.remove(id);
    if (server != null) {
      removeFromIndexes(server);
      server.containingIndex = null;
      leaving.remove(server);
      dueForRenewal.remove(server);
    }
  }

  /** Returns all backend servers; counts all of them as examined. */
  Collection<Server> values() {
    examined += byId.size();
    return byId.values();
  }

  /** Returns the backend servers of a service; counts all of them as examined. */
  Collection<Server> ofService(String service) {
    Set<Server> all = byService.getOrDefault(service, Set.of());
    examined += all.size();
    return all;
  }

  /** Returns the backend servers of a service, the least free capacity first. */
  NavigableMap<FreeCapacity, Server> byFreeCapacity(String service) {
    return byFreeCapacity.computeIfAbsent(service, s -> new TreeMap<>());
  }

  /**
   * Returns the backend servers with at least some free capacity, the least first.
   *
   * @param all the backend servers of a service by free capacity
   * @param cpu the free capacity in thousandths of a core
   */
  static Iterable<Server> withFreeCpu(NavigableMap<FreeCapacity, Server> all, long cpu) {
    return all.tailMap(new FreeCapacity(cpu, Long.MIN_VALUE)).values();
  }

  /** Returns the backend servers whose tasks must leave. */
  List<Server> leaving() {
    examined += leaving.size();
    return List.copyOf(leaving);
  }

  /** Marks a backend server for the next check of lease renewals. */
  void markForRenewal(Server server) {
    dueForRenewal.add(server);
  }

  /** Returns the backend servers that are marked for a renewal check, and removes the marks. */
  Collection<Server> takeDueForRenewal() {
    Set<Server> taken = dueForRenewal;
    dueForRenewal = new LinkedHashSet<>();
    examined += taken.size();
    return taken;
  }

  /** Returns the capacity of the backend server with the most processors. */
  Resources largestCapacity() {
    Resources cached = largestCapacity;
    if (cached == null) {
      cached =
          new ArrayList<>(values())
              .stream()
                  .map(s -> s.entry.capacity())
                  .max(Comparator.comparingLong(Resources::cpu))
                  .orElse(Resources.NONE);
      largestCapacity = cached;
    }
    return cached;
  }

  /** Removes a backend server from the indexes before its service or capacity changes. */
  void removeFromIndexes(Server server) {
    String service = server.entry.service();
    byService.getOrDefault(service, Set.of()).remove(server);
    byFreeCapacity(service).remove(FreeCapacity.of(server));
    largestCapacity = null;
  }

  /** Adds a backend server to the indexes after its service or capacity has changed. */
  void addToIndexes(Server server) {
    String service = server.entry.service();
    byService.computeIfAbsent(service, s -> new LinkedHashSet<>()).add(server);
    byFreeCapacity(service).put(FreeCapacity.of(server), server);
    largestCapacity = null;
  }

  /** Runs a change of a backend server's free capacity and updates the index. */
  void changeFreeCapacity(Server server, Runnable change) {
    NavigableMap<FreeCapacity, Server> order = byFreeCapacity(server.entry.service());
    order.remove(FreeCapacity.of(server));
    change.run();
    order.put(FreeCapacity.of(server), server);
  }

  /** Sets whether the tasks of a backend server must leave. */
  void setLeaving(Server server, boolean leaves) {
    if (leaves) {
      leaving.add(server);
    } else {
      leaving.remove(server);
    }
  }
}
