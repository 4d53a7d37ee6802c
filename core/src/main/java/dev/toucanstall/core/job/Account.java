package dev.toucanstall.core.job;

import java.util.Set;

/**
 * A client account. Immutable.
 *
 * @param name its name
 * @param keys the keys that it may use
 * @param weight its share when all is full
 * @param quota the most that it may have running, parts of 0 limit nothing
 */
public record Account(String name, Set<String> keys, double weight, Resources quota) {

  /** Copies the set. */
  public Account {
    keys = Set.copyOf(keys);
  }
}
