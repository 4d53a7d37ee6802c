package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.ServerEntry;
import dev.toucanstall.core.job.TaskPhase;
import dev.toucanstall.core.lease.LeaseBound;
import dev.toucanstall.core.lease.ServerClock;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/** Decides on the incarnations of backend servers and on the renewal of their leases. */
final class ServerRules {

  /**
   * Longest time that a renewal may wait at a backend server for a run to finish, in milliseconds.
   */
  static final long RENEWAL_WAIT_MS = 2_000;

  /** Longest time that a renewal may wait while a lasting task starts up, in milliseconds. */
  static final long START_UP_WAIT_MS = 400;

  /**
   * Time after which leases are renewed even if the finished runs that were listed last are not
   * stored yet, in milliseconds.
   */
  private static final long MAX_RENEWAL_INTERVAL_MS = 2_000;

  /**
   * Time in which a start is answered as a rule, in milliseconds; while one is under way for
   * longer, finished runs are not acknowledged.
   */
  private static final long START_ANSWER_MS = 100;

  /**
   * Time for which a renewal that acknowledges lets starts leave before it, in milliseconds. Then
   * further starts wait, so that it leaves once those that were sent are answered.
   */
  private static final long STARTS_FIRST_MS = 20;

  /** Longest time until a renewal that is due leaves in a pass, in milliseconds. */
  private static final long MAX_PASS_INTERVAL_MS = 50;

  /**
   * Longest time for which a start without an answer withholds acknowledgements, in milliseconds.
   */
  private static final long MAX_WITHHOLDING_MS = 2_000;

  /** Pause before the next renewal of a backend server that did not answer, in milliseconds. */
  private static final long UNRESPONSIVE_PAUSE_MS = 400;

  private ServerRules() {}

  /** Applies changes of the list of backend servers. */
  static void serversRead(Plan plan, PlanEvent.ServersRead read, Now now) {
    read.updated().forEach(entry -> applyEntry(plan, entry, now));
    read.removed().forEach(id -> unlist(plan, id));
    if (read.complete()) {
      Set<String> ids = read.updated().stream().map(ServerEntry::id).collect(Collectors.toSet());
      plan.servers.values().stream()
          .map(server -> server.entry.id())
          .filter(id -> !ids.contains(id))
          .toList()
          .forEach(id -> unlist(plan, id));
      plan.serverListComplete = true;
    }
  }

  /**
   * Applies a new or changed entry. An entry of an earlier incarnation is ignored. One of a later
   * incarnation whose start time lies before, as a clock was set back, is ignored until a list of
   * runs shows that incarnation.
   */
  private static void applyEntry(Plan plan, ServerEntry entry, Now now) {
    Server existing = plan.servers.get(entry.id());
    if (existing != null && existing.entry.startTimeMs() != entry.startTimeMs()) {
      if (existing.entry.startTimeMs() > entry.startTimeMs()
          || plan.servers.isFormerIncarnation(entry)) {
        return;
      }
      restarted(plan, existing, entry, now);
    }
    if (existing == null) {
      Server added = new Server(entry, LeaseBound.ofListed(now.steadyMs()), now.steadyMs());
      added.moving = plan.moves.mayEnd(entry.id());
      plan.servers.put(added);
      if (plan.formerClocks.isRestored(entry.id())
          || plan.succession.mayHaveLeftLeases(startedMs(entry, now), now.steadyMs())) {
        added.leases.formerIncarnationKnown();
      }
      plan.formerClocks.update(added, now);
      added.updateEntry(entry);
      plan.moves.arrived(entry.service());
      logServerEvent(plan, "server-listed", added, entry.draining() ? "draining" : "ready");
      return;
    }
    if (existing.unlisted && existing.clock.isUnknown()) {
      existing.clock.read(entry.serverClockMs(), now.steadyMs());
    }
    boolean startsDraining = entry.draining() && !existing.entry.draining();
    if (startsDraining || existing.unlisted || !existing.entry.service().equals(entry.service())) {
      logServerEvent(plan, "server-changed", existing, entry.draining() ? "draining" : "ready");
      plan.servicesToPlace.add(entry.service());
    }
    existing.updateEntry(entry);
    existing.unlisted = false;
  }

  /**
   * Returns the time at which an incarnation has started at the latest, in milliseconds of the
   * monotonic clock. The clock from which start times are taken may be set back, so the backend
   * server's monotonic clock has to agree if it is known.
   */
  private static long startedMs(ServerEntry entry, Now now) {
    long sinceStartMs = Math.max(0, now.wallMs() - entry.startTimeMs());
    long uptimeMs =
        entry.serverClockMs() == 0
            ? sinceStartMs
            : Math.min(sinceStartMs, ServerClock.shortestDurationMs(entry.serverClockMs()));
    return now.steadyMs() - uptimeMs;
  }

  /** Marks a backend server as removed from the list. Forgets it if it has no tasks. */
  private static void unlist(Plan plan, String id) {
    Server server = plan.servers.get(id);
    if (server == null || server.unlisted) {
      return;
    }
    server.unlisted = true;
    logServerEvent(plan, "server-unlisted", server, "tasks " + server.tasks.size());
    if (server.tasks.isEmpty()) {
      plan.servers.remove(id);
    }
  }

  /**
   * Ends a backend server and releases its tasks, because all runs of its incarnation have ended.
   */
  static void incarnationEnded(Plan plan, Server server, RunEvidence evidence, Now now) {
    logServerEvent(plan, "server-ended", server, evidence.kind().name());
    plan.servers.remove(server.entry.id());
    releaseAll(plan, server, evidence, now);
  }

  private static void releaseAll(Plan plan, Server server, RunEvidence evidence, Now now) {
    List.copyOf(server.tasks).forEach(task -> plan.releaseEnded(task, evidence, now));
  }

  /**
   * Takes over a later incarnation that answers or lists itself under the same id. Starts that are
   * under way may reach it, so tasks are released only by its lists.
   */
  static void restarted(Plan plan, Server server, ServerEntry newEntry, Now now) {
    server.beginIncarnation(newEntry, now.steadyMs());
    plan.servers.recordIncarnation(server);
    plan.formerClocks.update(server, now);
    logServerEvent(
        plan,
        "server-reborn",
        server,
        "tasks %d, unconfirmed starts %d"
            .formatted(server.tasks.size(), server.unconfirmedStarts()));
  }

  /**
   * Takes over a later incarnation that lists its runs under the same id before its entry is read,
   * which tells its kind.
   */
  static void restartedBeforeEntry(Plan plan, Server server, long startTimeMs, Now now) {
    restarted(plan, server, server.entry.withIncarnation(startTimeMs), now);
    server.awaitsEntry = true;
  }

  /**
   * Takes note that a later incarnation has answered an order that was meant for this one. Its
   * lists will show it.
   */
  static void suspectRestart(Plan plan, Server server, Now now) {
    if (!server.isIncarnationInDoubt()) {
      server.requestLists();
    }
    if (!server.leases.isRestartSuspected()) {
      logServerEvent(
          plan,
          "server-restart-suspected",
          server,
          "its clock is behind, unconfirmed starts " + server.unconfirmedStarts());
    }
    server.leases.restartSuspected(now.steadyMs());
    plan.formerClocks.update(server, now);
    server.markForRenewal();
  }

  /**
   * Returns whether no run can have been started by a later incarnation, or the acknowledgement has
   * been withheld for long: starts that take long to be answered must not withhold it for ever.
   */
  private static boolean mayAcknowledge(Server server, Now now) {
    if (server.isIncarnationInDoubt()) {
      return false;
    }
    boolean withheldForLong =
        server.acknowledgementWithheldSinceMs > 0
            && now.steadyMs() - server.acknowledgementWithheldSinceMs > MAX_WITHHOLDING_MS;
    return withheldForLong || !server.hasUnconfirmedStart(now.steadyMs() - START_ANSWER_MS);
  }

  /**
   * Returns the finished run up to which a renewal acknowledges, 0 for none.
   *
   * <p>A later incarnation numbers its finished runs anew, and would forget those that nobody has
   * read. So nothing is acknowledged twice, or while a run may have been started by one. After a
   * renewal without an answer, a list must first show which incarnation is there.
   */
  private static long acknowledgement(Server server, Now now) {
    if (server.storedCompletion <= server.acknowledgedCompletion
        || server.unresponsiveSinceMs > 0) {
      server.acknowledgementWithheldSinceMs = 0;
      return 0;
    }
    if (mayAcknowledge(server, now)) {
      server.acknowledgementSent(server.storedCompletion, now.steadyMs());
      server.awaitsStartAnswersSinceMs = 0;
      return server.storedCompletion;
    }
    if (server.acknowledgementWithheldSinceMs == 0) {
      server.acknowledgementWithheldSinceMs = now.steadyMs();
    }
    server.awaitsStartAnswersSinceMs = 0;
    server.nextRenewalMs = now.steadyMs() + START_ANSWER_MS;
    return 0;
  }

  /**
   * Emits a log event about a backend server.
   *
   * @param plan the state
   * @param event name of the event
   * @param server the backend server
   * @param reason reason of the event
   */
  static void logServerEvent(Plan plan, String event, Server server, String reason) {
    plan.logEvent(
        event,
        "server",
        server.entry.id(),
        "service",
        server.entry.service(),
        "born",
        Long.toString(server.entry.startTimeMs()),
        "why",
        reason);
  }

  /**
   * Marks a backend server as unresponsive. It gets no tasks, and loses those that it has once
   * their leases have expired.
   *
   * <p>A connection that is refused or reset counts like a missing answer: it shows the state of
   * the path, and the runs may go on behind it.
   */
  static void markUnresponsive(Plan plan, Server server, String reason, Now now) {
    if (server.unresponsiveSinceMs == 0) {
      server.unresponsiveSinceMs = now.steadyMs();
      logServerEvent(plan, "server-silent", server, reason);
    }
    server.nextRenewalMs = now.steadyMs() + UNRESPONSIVE_PAUSE_MS;
    server.markForRenewal();
  }

  /**
   * Renews the leases of each backend server that needs it, and reads its lists.
   *
   * <p>Checks only backend servers that are marked. A backend server comes to need a renewal by an
   * event that concerns it, by the end of a pause or by the expiry of its leases, each of which
   * marks it or leaves it marked.
   */
  static void renewLeases(Plan plan, Now now) {
    long leaseMs = Math.min(LeaseBound.LEASE_MS, plan.leaseEndMs() - now.steadyMs());
    if (leaseMs <= 0) {
      return;
    }
    for (Server server : plan.servers.takeDueForRenewal()) {
      if (server.unresponsiveSinceMs > 0 && now.steadyMs() >= server.leases.expiredMs()) {
        LeaseExpiryRules.leasesExpired(plan, server, now);
      }
      if (needsRenewal(server, now)) {
        renewLease(plan, server, leaseMs, now);
      }
      boolean paused =
          now.steadyMs() < server.nextRenewalMs
              || server.hasUnstoredCompletions()
              || server.awaitsStartAnswersSinceMs > 0;
      if (server.unresponsiveSinceMs > 0 || (!server.renewalPending && paused)) {
        server.markForRenewal();
      }
    }
  }

  /**
   * Returns whether a renewal that acknowledges has to wait for the answers to starts, at first
   * also to those that are about to be sent, which show whether a later incarnation has begun. One
   * would number its finished runs anew, and forget what such a renewal acknowledges while it waits
   * there.
   */
  private static boolean awaitsStartAnswers(Server server, Now now) {
    boolean awaits =
        server.storedCompletion > server.acknowledgedCompletion
            && server.unresponsiveSinceMs == 0
            && ((server.unsentStarts > 0 && !startsWait(server, now))
                || server.hasUnconfirmedStart(now.steadyMs() + 1));
    if (!awaits) {
      server.awaitsStartAnswersSinceMs = 0;
      return false;
    }
    if (server.awaitsStartAnswersSinceMs == 0) {
      server.awaitsStartAnswersSinceMs = now.steadyMs();
    }
    return now.steadyMs() - server.awaitsStartAnswersSinceMs <= START_ANSWER_MS;
  }

  /**
   * Returns whether starts have to wait until a renewal that acknowledges has left, as it has
   * waited for their answers for a while. It leaves soon after, whether they are answered or not.
   */
  static boolean startsWait(Server server, Now now) {
    long waitedMs = now.steadyMs() - server.awaitsStartAnswersSinceMs;
    return server.awaitsStartAnswersSinceMs > 0
        && waitedMs >= STARTS_FIRST_MS
        && waitedMs <= START_ANSWER_MS + MAX_PASS_INTERVAL_MS;
  }

  /** Returns whether a renewal of a backend server's leases is due. */
  private static boolean needsRenewal(Server server, Now now) {
    if (server.renewalPending || now.steadyMs() < server.nextRenewalMs) {
      return false;
    }
    if (server.listsOnly) {
      return true;
    }
    if (awaitsStartAnswers(server, now)) {
      return false;
    }
    if (server.hasUnstoredCompletions()
        && !server.isIncarnationInDoubt()
        && now.steadyMs() - server.renewalSentMs < MAX_RENEWAL_INTERVAL_MS) {
      return false;
    }
    return !server.answered
        || server.unresponsiveSinceMs > 0
        || server.isIncarnationInDoubt()
        || !server.tasks.isEmpty()
        || server.storedCompletion > server.acknowledgedCompletion;
  }

  /**
   * Returns whether lists must be read soon for a task: it is lasting and starts up, or its start
   * had no answer.
   */
  private static boolean isStartingUp(Task task) {
    if (task.startUnanswered) {
      return true;
    }
    return task.step.lasting()
        && task.phase.bound()
        && task.percentDone < Evacuation.SERVING_PERCENT;
  }

  /**
   * Sends a renewal of a backend server's leases. Leases of an unresponsive backend server, or of
   * one whose incarnation is in doubt, are not renewed, but the lists are read: on the clock of a
   * later incarnation, the time of this one gives the longest lease.
   */
  private static void renewLease(Plan plan, Server server, long leaseMs, Now now) {
    boolean hasRuns =
        server.tasks.stream().anyMatch(t -> t.phase != TaskPhase.ORDERED || t.isStartUnconfirmed());
    boolean renews =
        !server.tasks.isEmpty()
            && !server.listsOnly
            && server.unresponsiveSinceMs == 0
            && !server.isIncarnationInDoubt();
    long leaseExpiryMs = renews ? server.extendLease(leaseMs, now.steadyMs()) : 0;
    long maxWaitMs =
        server.tasks.stream().anyMatch(ServerRules::isStartingUp)
            ? START_UP_WAIT_MS
            : RENEWAL_WAIT_MS;
    long acknowledgedCompletion = server.listsOnly ? 0 : acknowledgement(server, now);
    boolean waits =
        server.answered
            && hasRuns
            && !server.listsOnly
            && server.unresponsiveSinceMs == 0
            && !server.isIncarnationInDoubt();
    long waitMs = waits ? maxWaitMs : 0;
    server.callSent(now.steadyMs());
    plan.emit(
        new PlanEffect.Hold(
            server.entry,
            server.fencingToken(plan.epoch),
            acknowledgedCompletion,
            leaseExpiryMs,
            waitMs));
  }
}
