package dev.toucanstall.core.node;

import dev.toucanstall.core.job.Catalog;
import dev.toucanstall.core.plan.Now;
import dev.toucanstall.core.plan.Plan;
import dev.toucanstall.core.plan.PlanEvent;

/** Decides whether the configuration that this entry instance knows may be relied on. */
final class FreshnessRules {

  /**
   * A call is admitted only while the store was asked within this time and had nothing newer, in
   * milliseconds. A key that is taken away is dead everywhere after it.
   */
  static final long FRESH_MS = 3_500;

  /** A wall clock that gains more than this on the steady one means a suspended machine. */
  private static final long SUSPENDED_MS = 500;

  private static final long LONG_AGO = Long.MIN_VALUE / 2;

  private FreshnessRules() {}

  /** Forgets what depends on the time if the machine may have been suspended since. */
  static void notice(Node node, Now now) {
    Now last = node.last;
    node.last = now;
    if (last == null) {
      return;
    }
    long gained = now.wallMs() - last.wallMs() - (now.steadyMs() - last.steadyMs());
    if (gained > SUSPENDED_MS) {
      node.logEvent("clock-gained", "ms", Long.toString(gained));
      node.catalogAskedMs = LONG_AGO;
      Plan plan = node.plan;
      if (plan != null) {
        plan.requireReconfirmation();
      }
    }
  }

  static boolean fresh(Node node, Now now) {
    return node.catalog != null && now.steadyMs() - node.catalogAskedMs <= FRESH_MS;
  }

  static void read(Node node, NodeEvent.CatalogRead read, Now now) {
    Catalog newer = read.catalog();
    Catalog known = node.catalog;
    if (newer != null && (known == null || newer.version() > known.version())) {
      node.catalog = newer;
      node.logEvent(
          "configuration-read",
          "version",
          Long.toString(newer.version()),
          "queues",
          Integer.toString(newer.queuesByName().size()));
      Terms.tell(node, new PlanEvent.CatalogChanged(newer), now);
    }
    node.catalogAskedMs = Math.max(node.catalogAskedMs, read.requestedMs());
  }

  static void updateReadiness(Node node, Now now) {
    boolean ready = fresh(node, now) && !node.stopping;
    if (ready != node.ready) {
      node.ready = ready;
      node.logEvent("readiness", "ready", Boolean.toString(ready));
      node.emit(new NodeEffect.SetReady(ready));
    }
  }
}
