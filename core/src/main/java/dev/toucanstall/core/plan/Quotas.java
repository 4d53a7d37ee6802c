package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.Resources;
import java.util.HashMap;
import java.util.Map;

/**
 * Resources of the tasks that each client account has bound on all backend servers. Owned by the
 * control thread.
 */
final class Quotas {

  /** Bound resources by the name of the client account. */
  private final Map<String, Resources> used = new HashMap<>();

  /** Adds the resources of a task that was bound. */
  void add(String account, Resources amount) {
    used.merge(account, amount, Resources::plus);
  }

  /** Subtracts the resources of a task that was unbound. */
  void remove(String account, Resources amount) {
    used.merge(account, Resources.NONE.minus(amount), Resources::plus);
  }

  /** Returns the resources that a client account has bound. */
  Resources used(String account) {
    return used.getOrDefault(account, Resources.NONE);
  }
}
