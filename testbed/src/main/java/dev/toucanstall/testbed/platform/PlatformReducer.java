package dev.toucanstall.testbed.platform;

import dev.toucanstall.core.model.InstanceId;
import dev.toucanstall.core.record.Condition;
import dev.toucanstall.core.record.Observation;
import dev.toucanstall.runtime.loop.Decision;
import dev.toucanstall.testbed.platform.PlatformEffect.Reply;
import dev.toucanstall.testbed.platform.PlatformState.Faults;
import dev.toucanstall.testbed.platform.PlatformState.Registration;
import dev.toucanstall.testbed.platform.PlatformState.WaitingRead;
import dev.toucanstall.wire.json.JsonCodec;
import dev.toucanstall.wire.json.ListProtocol;
import dev.toucanstall.wire.json.LogProtocol;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.pcollections.TreePMap;

/** Reducer of the stand-in for the platform. Pure. */
final class PlatformReducer {

  private static final JsonCodec<LogProtocol.Appended> APPENDED =
      JsonCodec.of(LogProtocol.Appended.class);
  private static final JsonCodec<LogProtocol.Records> RECORDS =
      JsonCodec.of(LogProtocol.Records.class);
  private static final JsonCodec<ListProtocol.Listed> LISTED =
      JsonCodec.of(ListProtocol.Listed.class);
  private static final int OK = 200;
  private static final int BAD_REQUEST = 400;
  private static final int UNAVAILABLE = 503;
  private static final long SLOW_LOG_DELAY_MILLIS = 1_500;
  private static final long REGISTRATION_TIMEOUT_NANOS = Duration.ofSeconds(3).toNanos();

  private final long listLagNanos;

  PlatformReducer(Duration listLag) {
    this.listLagNanos = listLag.toNanos();
  }

  Decision<PlatformState, PlatformEffect> reduce(PlatformState state, PlatformEvent event) {
    return switch (event) {
      case PlatformEvent.Tick tick -> tick(state, tick.at());
      case PlatformEvent.Append append -> append(state, append);
      case PlatformEvent.Read read -> read(state, read);
      case PlatformEvent.Register register -> register(state, register);
      case PlatformEvent.AnnounceCondition announce -> announce(state, announce);
      case PlatformEvent.ShowList show -> showList(state, show);
      case PlatformEvent.Restart restart -> restart(state, restart);
      case PlatformEvent.Fault fault -> fault(state, fault);
    };
  }

  private Decision<PlatformState, PlatformEffect> tick(PlatformState state, long now) {
    PlatformState next = refreshList(expireRegistrations(state, now), now);
    List<PlatformEffect> replies = new ArrayList<>();
    TreePMap<Long, WaitingRead> remaining = next.waitingReads();
    for (Map.Entry<Long, WaitingRead> entry : next.waitingReads().entrySet()) {
      if (entry.getValue().deadline() <= now) {
        remaining = remaining.minus(entry.getKey());
        replies.add(replyRecords(next, entry.getKey(), entry.getValue(), now));
      }
    }
    return new Decision<>(next.withWaitingReads(remaining), replies);
  }

  private static PlatformState expireRegistrations(PlatformState state, long now) {
    TreePMap<InstanceId, Registration> registered = state.registered();
    for (Map.Entry<InstanceId, Registration> entry : state.registered().entrySet()) {
      if (now - entry.getValue().renewedAt() > REGISTRATION_TIMEOUT_NANOS) {
        registered = registered.minus(entry.getKey());
      }
    }
    return state.withRegistered(registered);
  }

  private PlatformState refreshList(PlatformState state, long now) {
    if (now < state.listRefreshAt()) {
      return state;
    }
    TreePMap<InstanceId, Observation> listed = TreePMap.empty();
    for (Registration registration : state.registered().values()) {
      listed = listed.plus(registration.observation().id(), registration.observation());
    }
    return state.withListed(listed, now + listLagNanos);
  }

  private static Decision<PlatformState, PlatformEffect> append(
      PlatformState state, PlatformEvent.Append append) {
    if (append.at() < state.faults().logDownUntil()) {
      return Decision.of(state, unavailable(append.handle()));
    }
    PlatformState next = state.plusRecord(append.text());
    List<PlatformEffect> replies = new ArrayList<>();
    String body = APPENDED.encode(new LogProtocol.Appended(next.endOffset() - 1));
    boolean answerLost = append.at() < state.faults().loseAnswersUntil();
    replies.add(
        answerLost
            ? new Reply(
                append.handle(), UNAVAILABLE, "answer lost", delayMillis(state, append.at()))
            : new Reply(append.handle(), OK, body, delayMillis(state, append.at())));
    for (Map.Entry<Long, WaitingRead> entry : next.waitingReads().entrySet()) {
      replies.add(replyRecords(next, entry.getKey(), entry.getValue(), append.at()));
    }
    return new Decision<>(next.withWaitingReads(TreePMap.empty()), replies);
  }

  private static Decision<PlatformState, PlatformEffect> read(
      PlatformState state, PlatformEvent.Read read) {
    if (read.at() < state.faults().logDownUntil()) {
      return Decision.of(state, unavailable(read.handle()));
    }
    WaitingRead waitingRead =
        new WaitingRead(read.fromOffset(), read.maxRecords(), read.at() + read.waitNanos());
    boolean answerable = read.fromOffset() < state.endOffset() || read.waitNanos() <= 0;
    return answerable
        ? Decision.of(state, replyRecords(state, read.handle(), waitingRead, read.at()))
        : Decision.of(
            state.withWaitingReads(state.waitingReads().plus(read.handle(), waitingRead)));
  }

  private static PlatformEffect replyRecords(
      PlatformState state, long handle, WaitingRead read, long now) {
    if (now < state.faults().logDownUntil()) {
      return unavailable(handle);
    }
    long from = Math.max(read.fromOffset(), state.firstOffset());
    int start = (int) Math.min(state.records().size(), from - state.firstOffset());
    int end = Math.min(state.records().size(), start + read.maxRecords());
    List<LogProtocol.Read> records = new ArrayList<>();
    for (int i = start; i < end; i++) {
      records.add(new LogProtocol.Read(state.firstOffset() + i, state.records().get(i)));
    }
    String body =
        RECORDS.encode(new LogProtocol.Records(state.firstOffset(), state.endOffset(), records));
    return new Reply(handle, OK, body, delayMillis(state, now));
  }

  private static long delayMillis(PlatformState state, long now) {
    return now < state.faults().logSlowUntil() ? SLOW_LOG_DELAY_MILLIS : 0;
  }

  private static PlatformEffect unavailable(long handle) {
    return new Reply(handle, UNAVAILABLE, "down", 0);
  }

  private static Decision<PlatformState, PlatformEffect> register(
      PlatformState state, PlatformEvent.Register register) {
    Observation reported = register.observation();
    Registration known = state.registered().get(reported.id());
    boolean sameIncarnation =
        known != null && known.observation().incarnation() == reported.incarnation();
    Registration next =
        sameIncarnation && known != null
            ? new Registration(known.observation(), register.controlUrl(), register.at())
            : new Registration(reported, register.controlUrl(), register.at());
    return Decision.of(
        state.withRegistered(state.registered().plus(reported.id(), next)),
        new Reply(register.handle(), OK, "registered", 0));
  }

  private static Decision<PlatformState, PlatformEffect> announce(
      PlatformState state, PlatformEvent.AnnounceCondition announce) {
    Registration known = state.registered().get(announce.instance());
    if (known == null) {
      return Decision.of(
          state, new Reply(announce.handle(), BAD_REQUEST, "instance does not exist", 0));
    }
    Observation o = known.observation();
    Observation next =
        new Observation(
            o.id(),
            o.incarnation(),
            o.address(),
            o.datacentre(),
            o.domain(),
            o.slots(),
            announce.condition());
    Registration registration = new Registration(next, known.controlUrl(), known.renewedAt());
    return Decision.of(
        state.withRegistered(state.registered().plus(o.id(), registration)),
        new Reply(announce.handle(), OK, "announced", 0));
  }

  private static Decision<PlatformState, PlatformEffect> showList(
      PlatformState state, PlatformEvent.ShowList show) {
    if (show.at() < state.faults().listDownUntil()) {
      return Decision.of(state, unavailable(show.handle()));
    }
    String body = LISTED.encode(new ListProtocol.Listed(List.copyOf(state.listed().values())));
    return Decision.of(state, new Reply(show.handle(), OK, body, 0));
  }

  private static Decision<PlatformState, PlatformEffect> restart(
      PlatformState state, PlatformEvent.Restart restart) {
    Registration known = state.registered().get(restart.instance());
    if (known == null) {
      return Decision.of(
          state, new Reply(restart.handle(), BAD_REQUEST, "instance does not exist", 0));
    }
    Reply reply = new Reply(restart.handle(), OK, "restarting", 0);
    return known.observation().incarnation() > restart.incarnation()
        ? Decision.of(state, reply)
        : Decision.of(
            state,
            reply,
            new PlatformEffect.RestartInstance(known.controlUrl(), restart.instance()));
  }

  private static Decision<PlatformState, PlatformEffect> fault(
      PlatformState state, PlatformEvent.Fault fault) {
    Faults current = state.faults();
    long until = fault.at() + fault.durationNanos();
    Faults next =
        switch (fault.kind()) {
          case "log-down" ->
              new Faults(
                  until,
                  current.logSlowUntil(),
                  current.loseAnswersUntil(),
                  current.listDownUntil());
          case "log-slow" ->
              new Faults(
                  current.logDownUntil(),
                  until,
                  current.loseAnswersUntil(),
                  current.listDownUntil());
          case "lose-answers" ->
              new Faults(
                  current.logDownUntil(), current.logSlowUntil(), until, current.listDownUntil());
          case "list-down" ->
              new Faults(
                  current.logDownUntil(),
                  current.logSlowUntil(),
                  current.loseAnswersUntil(),
                  until);
          default -> Faults.NONE;
        };
    return Decision.of(state.withFaults(next), new Reply(fault.handle(), OK, next.toString(), 0));
  }

  /** Returns whether a text names a {@link Condition}. */
  static boolean isCondition(String text) {
    return List.of(Condition.values()).stream().anyMatch(c -> c.name().equals(text));
  }
}
