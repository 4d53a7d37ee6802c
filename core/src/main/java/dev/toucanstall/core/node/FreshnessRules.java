package dev.toucanstall.core.node;

import dev.toucanstall.core.job.Catalog;
import dev.toucanstall.core.plan.Now;
import dev.toucanstall.core.plan.Plan;
import dev.toucanstall.core.plan.PlanEvent;

/** Decides whether the configuration known to this entry instance is recent enough to rely on. */
final class FreshnessRules {

  /**
   * Maximum age of the configuration for admitting calls, in milliseconds: time since the request
   * to the store that last confirmed it as the latest. A withdrawn API key is invalid on all entry
   * instances after this time.
   */
  static final long FRESH_MS = 3_500;

  /**
   * Gain of the wall clock on the steady clock, in milliseconds, above which the machine counts as
   * having been suspended: the steady clock may stand still meanwhile.
   */
  private static final long SUSPENDED_MS = 500;

  /** Time before all others; half the minimum, so that differences to it do not overflow. */
  private static final long LONG_AGO = Long.MIN_VALUE / 2;

  private FreshnessRules() {}

  /**
   * Checks whether the machine may have been suspended since the last event. If so, the
   * configuration counts as outdated and the store must confirm the planner's epoch again.
   */
  static void notice(Node node, Now now) {
    Now last = node.last;
    node.last = now;
    if (last == null) {
      return;
    }
    long gained = now.wallMs() - last.wallMs() - (now.steadyMs() - last.steadyMs());
    if (gained > SUSPENDED_MS) {
      node.note("clock-gained", "ms", Long.toString(gained));
      node.catalogAskedMs = LONG_AGO;
      Plan plan = node.plan;
      if (plan != null) {
        plan.requireReconfirmation();
      }
    }
  }

  /** Returns whether the configuration is known and recent enough to admit calls. */
  static boolean fresh(Node node, Now now) {
    return node.catalog != null && now.steadyMs() - node.catalogAskedMs <= FRESH_MS;
  }

  /** Handles the store's answer to a request for the latest configuration. */
  static void read(Node node, NodeEvent.CatalogRead read, Now now) {
    Catalog newer = read.catalog();
    Catalog known = node.catalog;
    if (newer != null && (known == null || newer.version() > known.version())) {
      node.catalog = newer;
      node.note(
          "configuration-read",
          "version",
          Long.toString(newer.version()),
          "queues",
          Integer.toString(newer.queuesByName().size()));
      Terms.tell(node, new PlanEvent.CatalogChanged(newer), now);
    }
    node.catalogAskedMs = Math.max(node.catalogAskedMs, read.requestedMs());
  }

  /** Reports a change of this entry instance's readiness to serve clients. */
  static void updateReadiness(Node node, Now now) {
    boolean ready = fresh(node, now) && !node.stopping;
    if (ready != node.ready) {
      node.ready = ready;
      node.note("readiness", "ready", Boolean.toString(ready));
      node.emit(new NodeEffect.SetReady(ready));
    }
  }
}
