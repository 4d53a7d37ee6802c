package dev.toucanstall.core.plan;

import java.util.List;

/**
 * Decides when the tasks of an unresponsive backend server may start elsewhere, as no run of them
 * can go on there. The bounds and the evidence for each are listed in docs/RULES-KEPT.md.
 */
final class LeaseExpiryRules {

  /**
   * Longest time that a lasting task which has served may be without a run because it is unknown
   * whether its next one was started, in milliseconds.
   */
  private static final long MAX_LASTING_OUTAGE_MS = 8_500;

  private LeaseExpiryRules() {}

  /**
   * Releases the tasks of a backend server whose leases have all expired; those whose start may
   * have been carried out by an unknown later incarnation only once its leases have, too.
   */
  static void leasesExpired(Plan plan, Server server, Now now) {
    List<Task> released =
        server.tasks.stream().filter(t -> now.steadyMs() >= releasableMs(plan, t, server)).toList();
    if (!released.isEmpty()) {
      ServerRules.logServerEvent(
          plan,
          "leases-out",
          server,
          "tasks %d of %d, unconfirmed starts %d, bound by %s, silent for %d ms"
              .formatted(
                  released.size(),
                  server.tasks.size(),
                  released.stream().filter(t -> t.mayStartLate(server.listRequestedMs)).count(),
                  server.leases.source(),
                  now.steadyMs() - server.unresponsiveSinceMs));
      released.forEach(
          t ->
              plan.releaseEnded(
                  t,
                  new RunEvidence(RunEvidence.Kind.LEASES_EXPIRED, releasableMs(plan, t, server)),
                  now));
    }
    server.answered = false;
    if (server.unlisted && server.tasks.isEmpty()) {
      plan.servers.remove(server.entry.id());
    }
  }

  /**
   * Returns the time at which a task of an unresponsive backend server may start elsewhere, in
   * milliseconds of the monotonic clock.
   *
   * <p>A start without an answer, or an earlier copy of one that had an answer, may have been
   * carried out by a later incarnation, and nothing but its leases' expiry shows that the run has
   * ended. A lasting task that has served before can't be out of service for long, so the longest
   * lease counts from the last time at which the backend server was certainly up: it was lost
   * later, and the task is awaited from its loss on.
   */
  private static long releasableMs(Plan plan, Task task, Server server) {
    long knownMs = server.leases.expiredMs();
    if (!task.mayStartLate(server.listRequestedMs)) {
      return knownMs;
    }
    long unknownMs = server.leases.unknownIncarnationExpiredMs();
    if (!task.step.lasting()) {
      return task.startArrivesUntilMs == 0
          ? unknownMs
          : Math.max(unknownMs, plan.succession.unconfirmedStartLeasesEndMs());
    }
    if (!task.mayHaveServed()) {
      return unknownMs;
    }
    long afterEndMs = task.lastEndListedMs == 0 ? 0 : task.lastEndListedMs + MAX_LASTING_OUTAGE_MS;
    long afterContactMs = server.leases.lastContactExpiredMs();
    return Math.clamp(Math.max(afterEndMs, afterContactMs), knownMs, unknownMs);
  }
}
