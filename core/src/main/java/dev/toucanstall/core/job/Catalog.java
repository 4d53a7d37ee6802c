package dev.toucanstall.core.job;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * One version of the operators' configuration: queues, client accounts and pools. Immutable.
 *
 * @param version version number, higher in each later configuration
 * @param queuesByHost queues of each host name, those with longer path prefixes first
 * @param queuesByName queues by queue name
 * @param accountsByName client accounts by account name
 * @param accountsByKey client accounts by API key
 * @param sparePools names of the pools whose machines are switched off until they are moved to
 *     another pool
 */
public record Catalog(
    long version,
    Map<String, List<Queue>> queuesByHost,
    Map<String, Queue> queuesByName,
    Map<String, Account> accountsByName,
    Map<String, Account> accountsByKey,
    Set<String> sparePools) {

  /**
   * Builds a catalog and its indexes. The first of several entries with the same name or key wins.
   *
   * @param version version number of the configuration
   * @param queues all queues
   * @param accounts all client accounts
   * @param sparePools names of the pools whose machines are switched off
   * @return the catalog
   */
  public static Catalog of(
      long version, List<Queue> queues, List<Account> accounts, Set<String> sparePools) {
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
        Set.copyOf(sparePools));
  }

  private static <T> Map<String, T> index(List<T> all, Function<T, String> keyOf) {
    return all.stream().collect(Collectors.toMap(keyOf, t -> t, (a, b) -> a));
  }

  /**
   * Finds the queue that serves a path.
   *
   * @param host the host name of the request, without a port
   * @param path the path of the request
   * @return the queue with the longest matching prefix, or empty if no prefix matches
   */
  public Optional<Queue> findQueue(String host, String path) {
    return queuesByHost.getOrDefault(host, List.of()).stream()
        .filter(q -> path.startsWith(q.prefix()))
        .findFirst();
  }
}
