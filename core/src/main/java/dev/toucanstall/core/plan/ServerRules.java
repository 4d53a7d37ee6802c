package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.ServerEntry;
import dev.toucanstall.core.job.TaskPhase;
import java.util.ArrayList;
import java.util.Set;
import java.util.stream.Collectors;

/** Decides on the lives of backend servers and the renewal of their leases. */
final class ServerRules {

  /** How long a call may wait at a backend server for an end, in milliseconds. */
  static final long WAIT_MS = 2_000;

  /** The same while a lasting task starts up, in milliseconds. */
  static final long SHORT_WAIT_MS = 400;

  /**
   * Leases are renewed after this time even if the ends that were listed last are not stored yet,
   * in milliseconds.
   */
  private static final long LONGEST_REST_MS = 2_000;

  /** Refused connections for this long mean a dead process, in milliseconds. */
  private static final long REFUSING_MS = 80;

  private ServerRules() {}

  static void read(Plan plan, PlanEvent.ServersRead read, Now now) {
    read.updated().forEach(entry -> present(plan, entry, now));
    read.removed().forEach(id -> unlist(plan, id));
    if (read.complete()) {
      Set<String> ids = read.updated().stream().map(ServerEntry::id).collect(Collectors.toSet());
      plan.servers.values().stream()
          .map(server -> server.entry.id())
          .filter(id -> !ids.contains(id))
          .toList()
          .forEach(id -> unlist(plan, id));
      plan.listComplete = true;
    }
  }

  private static void present(Plan plan, ServerEntry entry, Now now) {
    Server known = plan.servers.get(entry.id());
    if (known != null && known.entry.startTimeMs() != entry.startTimeMs()) {
      if (known.entry.startTimeMs() > entry.startTimeMs()) {
        return;
      }
      reborn(plan, known, entry, now);
    }
    if (known == null) {
      Server fresh = new Server(entry, now.steadyMs());
      fresh.moving = plan.moves.ends(entry.id());
      plan.servers.put(fresh);
      fresh.list(entry);
      plan.moves.arrived(entry.service());
      noteServer(plan, "server-listed", fresh, entry.draining() ? "draining" : "ready");
      return;
    }
    if (known.unlisted && known.clockMs == 0) {
      known.readClock(entry.serverClockMs(), now.steadyMs());
    }
    boolean drains = entry.draining() && !known.entry.draining();
    if (drains || known.unlisted || !known.entry.service().equals(entry.service())) {
      noteServer(plan, "server-changed", known, entry.draining() ? "draining" : "ready");
      plan.dirtyServices.add(entry.service());
    }
    known.list(entry);
    known.unlisted = false;
  }

  private static void unlist(Plan plan, String id) {
    Server server = plan.servers.get(id);
    if (server == null || server.unlisted) {
      return;
    }
    server.unlisted = true;
    noteServer(plan, "server-unlisted", server, "tasks " + server.tasks.size());
    if (server.tasks.isEmpty()) {
      plan.servers.remove(id);
    }
  }

  /** All that ran in this life of the backend server has ended. */
  static void died(Plan plan, Server server, String why) {
    noteServer(plan, "server-ended", server, why);
    plan.servers.remove(server.entry.id());
    new ArrayList<>(server.tasks).forEach(plan::release);
  }

  /**
   * A later life under the same id answers or lists itself. Starts that are under way may reach it,
   * so tasks are freed by its lists only.
   */
  static void reborn(Plan plan, Server server, ServerEntry life, Now now) {
    server.beginLife(life, now.steadyMs());
    noteServer(plan, "server-reborn", server, "tasks " + server.tasks.size());
  }

  static void noteServer(Plan plan, String event, Server server, String why) {
    plan.logEvent(
        event,
        "server",
        server.entry.id(),
        "service",
        server.entry.service(),
        "born",
        Long.toString(server.entry.startTimeMs()),
        "why",
        why);
  }

  /**
   * Nothing runs at an address that refuses connections for a while. A process that starts again
   * may yet get the starts that are under way, so these are waited for.
   */
  static void connectionRefused(Plan plan, Server server, Now now) {
    if (server.refusingSinceMs == 0) {
      server.refusingSinceMs = now.steadyMs();
    }
    boolean starts = server.tasks.stream().anyMatch(Task::startUnderWay);
    if (now.steadyMs() - server.refusingSinceMs >= REFUSING_MS && !starts) {
      died(plan, server, "nothing listens at " + server.entry.address());
    }
  }

  /**
   * Renews the lease of each backend server that needs it, and reads its lists. Only what happens
   * to a backend server, or the time for which it rests or its leases last, can make it need one.
   */
  static void renewLeases(Plan plan, Now now) {
    long sinceConfirmed = now.steadyMs() - plan.confirmedMs();
    if (sinceConfirmed > PlanReducer.HOLD_PERMISSION_MS) {
      return;
    }
    for (Server server : plan.servers.takeDue()) {
      if (server.silentSinceMs > 0 && now.steadyMs() >= server.leasesExpiredMs) {
        leasesOut(plan, server);
      }
      if (wantsHold(server, now)) {
        hold(plan, server, now);
      }
      boolean rests = now.steadyMs() < server.holdAfterMs || server.awaitsStore();
      if (server.silentSinceMs > 0 || (!server.holding && rests)) {
        server.look();
      }
    }
  }

  private static void leasesOut(Plan plan, Server server) {
    if (!server.tasks.isEmpty()) {
      noteServer(plan, "leases-out", server, "tasks " + server.tasks.size());
      new ArrayList<>(server.tasks).forEach(plan::release);
    }
    server.answered = false;
    if (server.unlisted) {
      plan.servers.remove(server.entry.id());
    }
  }

  private static boolean wantsHold(Server server, Now now) {
    if (server.holding || now.steadyMs() < server.holdAfterMs) {
      return false;
    }
    if (server.awaitsStore() && now.steadyMs() - server.holdSentMs < LONGEST_REST_MS) {
      return false;
    }
    return !server.answered
        || server.silentSinceMs > 0
        || !server.tasks.isEmpty()
        || server.storedEnds > server.acknowledgedEnds;
  }

  /** A lasting task whose start-up must be seen to end. */
  private static boolean starting(Task task) {
    return task.step.lasting() && task.phase.bound() && task.percent < Evacuation.AT_WORK;
  }

  private static void hold(Plan plan, Server server, Now now) {
    boolean runs = server.tasks.stream().anyMatch(t -> t.phase != TaskPhase.ORDERED || t.sends > 0);
    boolean renews = !server.tasks.isEmpty() && server.silentSinceMs == 0;
    long lease = renews ? server.lease(PlanReducer.LEASE_MS, now.steadyMs()) : 0;
    long longest = server.tasks.stream().anyMatch(ServerRules::starting) ? SHORT_WAIT_MS : WAIT_MS;
    long wait = server.answered && runs && server.silentSinceMs == 0 ? longest : 0;
    server.holding = true;
    server.holdSentMs = now.steadyMs();
    plan.emit(new PlanEffect.Hold(server.entry, plan.epoch, server.storedEnds, lease, wait));
  }
}
