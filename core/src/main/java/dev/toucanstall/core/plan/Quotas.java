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

  void add(String account, Resources amount) {
    used.merge(account, amount, Resources::plus);
  }

  void remove(String account, Resources amount) {
    used.merge(account, Resources.NONE.minus(amount), Resources::plus);
  }

  Resources used(String account) {
    return used.getOrDefault(account, Resources.NONE);
  }
}
