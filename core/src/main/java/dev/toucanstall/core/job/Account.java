package dev.toucanstall.core.job;

import java.util.Set;

/**
 * A client account: an owner of jobs with a share of the capacity. Immutable.
 *
 * @param name the account's name
 * @param keys the API keys that authenticate as this account
 * @param weight relative share of the capacity while demand exceeds it
 * @param quota upper limit of the resources of all running tasks of the account; a component of 0
 *     means no limit
 */
public record Account(String name, Set<String> keys, double weight, Resources quota) {

  /** Copies the set of keys. */
  public Account {
    keys = Set.copyOf(keys);
  }
}
