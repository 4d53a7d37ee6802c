package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.Resources;
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
 * The backend servers by id, by service and by free room, and those that need a look, so that what
 * concerns one is decided without looking at the others. Owned by the control thread.
 */
final class Servers {

  /**
   * How much is free on a backend server, the fullest first; of those with the same room the one
   * that is known for longest.
   *
   * @param cpu what is free, in thousandths of a core
   * @param number rises with each backend server that becomes known
   */
  record FreeCapacity(long cpu, long number) implements Comparable<FreeCapacity> {

    static FreeCapacity of(Server server) {
      return new FreeCapacity(server.freeCapacity().cpu(), server.number);
    }

    @Override
    public int compareTo(FreeCapacity other) {
      return cpu == other.cpu ? Long.compare(number, other.number) : Long.compare(cpu, other.cpu);
    }
  }

  private final Map<String, Server> byId = new LinkedHashMap<>();
  private final Map<String, Set<Server>> byService = new HashMap<>();
  private final Map<String, NavigableMap<FreeCapacity, Server>> byFreeCapacity = new HashMap<>();
  private final Set<Server> leaving = new LinkedHashSet<>();
  private Set<Server> due = new LinkedHashSet<>();
  private @Nullable Resources largest;
  private long numbers;
  private long looks;

  /** Returns how many backend servers were looked at one by one in search of something. */
  long looks() {
    return looks;
  }

  /** A backend server is looked at in search of something. */
  void looked() {
    looks++;
  }

  @Nullable Server get(String id) {
    return byId.get(id);
  }

  int size() {
    return byId.size();
  }

  boolean containsKey(String id) {
    return byId.containsKey(id);
  }

  Server computeIfAbsent(String id, Function<String, Server> make) {
    Server known = byId.get(id);
    if (known != null) {
      return known;
    }
    Server made = make.apply(id);
    put(made);
    return made;
  }

  void put(Server server) {
    server.number = numbers++;
    byId.put(server.entry.id(), server);
    server.home = this;
    enter(server);
    look(server);
  }

  void remove(String id) {
    Server server = byId.remove(id);
    if (server != null) {
      leave(server);
      server.home = null;
      leaving.remove(server);
      due.remove(server);
    }
  }

  /** All of them; the cost grows with their number. */
  Collection<Server> values() {
    looks += byId.size();
    return byId.values();
  }

  /** Those of one service; the cost grows with their number. */
  Collection<Server> ofService(String service) {
    Set<Server> all = byService.getOrDefault(service, Set.of());
    looks += all.size();
    return all;
  }

  /** Those of one service, the fullest first. */
  NavigableMap<FreeCapacity, Server> byFreeCapacity(String service) {
    return byFreeCapacity.computeIfAbsent(service, s -> new TreeMap<>());
  }

  /** Those with at least so much free, in thousandths of a core, the fullest first. */
  static Iterable<Server> withRoom(NavigableMap<FreeCapacity, Server> all, long cpu) {
    return all.tailMap(new FreeCapacity(cpu, Long.MIN_VALUE)).values();
  }

  /** Those whose tasks are to leave. */
  List<Server> leaving() {
    looks += leaving.size();
    return List.copyOf(leaving);
  }

  /** The next renewal of leases looks at this backend server. */
  void look(Server server) {
    due.add(server);
  }

  /** Takes those that were marked for a look. */
  Collection<Server> takeDue() {
    Set<Server> taken = due;
    due = new LinkedHashSet<>();
    looks += taken.size();
    return taken;
  }

  /** Returns the room of the largest one. */
  Resources largest() {
    Resources known = largest;
    if (known == null) {
      known =
          new ArrayList<>(values())
              .stream()
                  .map(s -> s.entry.capacity())
                  .max(Comparator.comparingLong(Resources::cpu))
                  .orElse(Resources.NONE);
      largest = known;
    }
    return known;
  }

  /** Takes a backend server out of the order before its service or its room changes. */
  void leave(Server server) {
    String service = server.entry.service();
    byService.getOrDefault(service, Set.of()).remove(server);
    byFreeCapacity(service).remove(FreeCapacity.of(server));
    largest = null;
  }

  /** Puts it back afterwards. */
  void enter(Server server) {
    String service = server.entry.service();
    byService.computeIfAbsent(service, s -> new LinkedHashSet<>()).add(server);
    byFreeCapacity(service).put(FreeCapacity.of(server), server);
    largest = null;
  }

  /** Does something that changes how much is free on a backend server. */
  void reorder(Server server, Runnable change) {
    NavigableMap<FreeCapacity, Server> order = byFreeCapacity(server.entry.service());
    order.remove(FreeCapacity.of(server));
    change.run();
    order.put(FreeCapacity.of(server), server);
  }

  /** Keeps up with whether the tasks of a backend server are to leave. */
  void noteLeaving(Server server, boolean leaves) {
    if (leaves) {
      leaving.add(server);
    } else {
      leaving.remove(server);
    }
  }
}
