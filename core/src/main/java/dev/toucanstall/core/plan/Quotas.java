package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.Resources;
import java.util.HashMap;
import java.util.Map;

/** What each client account has bound across all backend servers. Owned by the control thread. */
final class Quotas {

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
