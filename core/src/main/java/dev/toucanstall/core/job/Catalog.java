package dev.toucanstall.core.job;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * One version of the operators' configuration: queues, services and client accounts. Immutable.
 *
 * @param version rises with each change
 * @param queuesByHost by host, longest prefix first
 * @param queuesByName the queues by name
 * @param accountsByName the client accounts by name
 * @param accountsByKey the client accounts by key
 * @param sparePools the pools whose machines are switched off and wait for use elsewhere
 */
public record Catalog(
    long version,
    Map<String, List<Queue>> queuesByHost,
    Map<String, Queue> queuesByName,
    Map<String, Account> accountsByName,
    Map<String, Account> accountsByKey,
    Set<String> sparePools) {

  /**
   * Makes a catalog.
   *
   * @param version the version
   * @param queues all queues
   * @param accounts all client accounts
   * @param spare the pools whose machines are switched off
   * @return the catalog
   */
  public static Catalog of(
      long version, List<Queue> queues, List<Account> accounts, Set<String> spare) {
    Map<String, List<Queue>> byHost =
        queues.stream()
            .sorted(Comparator.comparingInt((Queue q) -> -q.prefix().length()))
            .collect(Collectors.groupingBy(Queue::host));
    Map<String, Account> byKey =
        accounts.stream()
            .flatMap(a -> a.keys().stream().map(k -> Map.entry(k, a)))
            .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue, (a, b) -> a));
    return new Catalog(
        version,
        byHost,
        index(queues, Queue::name),
        index(accounts, Account::name),
        byKey,
        Set.copyOf(spare));
  }

  private static <T> Map<String, T> index(List<T> all, Function<T, String> name) {
    return all.stream().collect(Collectors.toMap(name, t -> t, (a, b) -> a));
  }

  /**
   * Finds the queue of a path.
   *
   * @param host the host name
   * @param path the path
   * @return the queue with the longest matching prefix
   */
  public Optional<Queue> findQueue(String host, String path) {
    return queuesByHost.getOrDefault(host, List.of()).stream()
        .filter(q -> path.startsWith(q.prefix()))
        .findFirst();
  }
}
