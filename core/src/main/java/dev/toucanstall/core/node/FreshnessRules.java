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
  static final long MAX_CATALOG_AGE_MS = 3_500;

  /**
   * Gain or loss of the wall clock on the monotonic clock, in milliseconds, above which the machine
   * counts as having been suspended: the monotonic clock may stand still meanwhile, and the wall
   * clock may be set.
   */
  private static final long SUSPENSION_GAIN_MS = 500;

  /** Time before all others; half the minimum, so that differences do not overflow. */
  static final long NEVER_MS = Long.MIN_VALUE / 2;

  private FreshnessRules() {}

  /**
   * Checks whether the machine may have been suspended, also several times for a short while, since
   * that was last noticed. If so, the configuration counts as outdated and the store must confirm
   * the planner's epoch again. Answers to what the store was asked before confirm neither, because
   * their age is unknown.
   *
   * <p>Also checked with a monotonic clock that counts suspensions: a virtual machine that its host
   * has paused may not count that time.
   */
  static void detectSuspension(Node node, Now now) {
    Now reference = node.clockReference;
    if (reference == null) {
      node.clockReference = now;
      return;
    }
    long gainMs = now.wallMs() - reference.wallMs() - (now.steadyMs() - reference.steadyMs());
    if (Math.abs(gainMs) > SUSPENSION_GAIN_MS) {
      node.clockReference = now;
      node.logEvent("clock-gained", "ms", Long.toString(gainMs));
      node.catalogRequestedMs = NEVER_MS;
      node.suspensionNoticedMs = now.steadyMs();
      node.predecessorContact.timeLost(now);
      Plan plan = node.plan;
      if (plan != null) {
        plan.requireReconfirmation();
      }
    }
  }

  static boolean isFresh(Node node, Now now) {
    return node.catalog != null && now.steadyMs() - node.catalogRequestedMs <= MAX_CATALOG_AGE_MS;
  }

  static void catalogRead(Node node, NodeEvent.CatalogRead read, Now now) {
    node.candidacy.storeAnswered(now);
    Catalog latest = read.catalog();
    Catalog current = node.catalog;
    if (latest != null && (current == null || latest.version() > current.version())) {
      node.catalog = latest;
      node.logEvent(
          "configuration-read",
          "version",
          Long.toString(latest.version()),
          "queues",
          Integer.toString(latest.queuesByName().size()));
      Terms.applyToPlan(node, new PlanEvent.CatalogChanged(latest), now);
    }
    if (read.requestedMs() > node.suspensionNoticedMs) {
      node.catalogRequestedMs = Math.max(node.catalogRequestedMs, read.requestedMs());
    }
  }

  static void updateReadiness(Node node, Now now) {
    boolean ready = isFresh(node, now) && !node.stopping;
    if (ready != node.ready) {
      node.ready = ready;
      node.logEvent("readiness", "ready", Boolean.toString(ready));
      node.emit(new NodeEffect.SetReady(ready));
    }
  }
}
