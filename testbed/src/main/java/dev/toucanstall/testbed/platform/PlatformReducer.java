package dev.toucanstall.testbed.platform;

import dev.toucanstall.core.model.InstanceId;
import dev.toucanstall.core.record.Condition;
import dev.toucanstall.core.record.Observation;
import dev.toucanstall.runtime.loop.Decision;
import dev.toucanstall.testbed.platform.PlatformEffect.Reply;
import dev.toucanstall.testbed.platform.PlatformState.Faults;
import dev.toucanstall.testbed.platform.PlatformState.Live;
import dev.toucanstall.testbed.platform.PlatformState.Reader;
import dev.toucanstall.wire.json.JsonCodec;
import dev.toucanstall.wire.json.ListProtocol;
import dev.toucanstall.wire.json.LogProtocol;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.pcollections.TreePMap;

/** Decides for the stand-in for the platform. Pure. */
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
  private static final long SLOW_MILLIS = 1_500;
  private static final long DEAD_AFTER_NANOS = Duration.ofSeconds(3).toNanos();

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
      case PlatformEvent.Announce announce -> announce(state, announce);
      case PlatformEvent.ShowList show -> showList(state, show);
      case PlatformEvent.Restart restart -> restart(state, restart);
      case PlatformEvent.Fault fault -> fault(state, fault);
    };
  }

  private Decision<PlatformState, PlatformEffect> tick(PlatformState state, long now) {
    PlatformState next = refreshList(expire(state, now), now);
    List<PlatformEffect> replies = new ArrayList<>();
    TreePMap<Long, Reader> waiting = next.readers();
    for (Map.Entry<Long, Reader> entry : next.readers().entrySet()) {
      if (entry.getValue().until() <= now) {
        waiting = waiting.minus(entry.getKey());
        replies.add(replyRecords(next, entry.getKey(), entry.getValue(), now));
      }
    }
    return new Decision<>(next.withReaders(waiting), replies);
  }

  private static PlatformState expire(PlatformState state, long now) {
    TreePMap<InstanceId, Live> live = state.live();
    for (Map.Entry<InstanceId, Live> entry : state.live().entrySet()) {
      if (now - entry.getValue().heardAt() > DEAD_AFTER_NANOS) {
        live = live.minus(entry.getKey());
      }
    }
    return state.withLive(live);
  }

  private PlatformState refreshList(PlatformState state, long now) {
    if (now < state.listDueAt()) {
      return state;
    }
    TreePMap<InstanceId, Observation> listed = TreePMap.empty();
    for (Live one : state.live().values()) {
      listed = listed.plus(one.observation().id(), one.observation());
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
    String body = APPENDED.encode(new LogProtocol.Appended(next.end() - 1));
    boolean lost = append.at() < state.faults().loseAnswersUntil();
    replies.add(
        lost
            ? new Reply(append.handle(), UNAVAILABLE, "answer lost", delay(state, append.at()))
            : new Reply(append.handle(), OK, body, delay(state, append.at())));
    for (Map.Entry<Long, Reader> entry : next.readers().entrySet()) {
      replies.add(replyRecords(next, entry.getKey(), entry.getValue(), append.at()));
    }
    return new Decision<>(next.withReaders(TreePMap.empty()), replies);
  }

  private static Decision<PlatformState, PlatformEffect> read(
      PlatformState state, PlatformEvent.Read read) {
    if (read.at() < state.faults().logDownUntil()) {
      return Decision.of(state, unavailable(read.handle()));
    }
    Reader reader = new Reader(read.from(), read.max(), read.at() + read.waitNanos());
    boolean answerable = read.from() < state.end() || read.waitNanos() <= 0;
    return answerable
        ? Decision.of(state, replyRecords(state, read.handle(), reader, read.at()))
        : Decision.of(state.withReaders(state.readers().plus(read.handle(), reader)));
  }

  private static PlatformEffect replyRecords(
      PlatformState state, long handle, Reader reader, long now) {
    if (now < state.faults().logDownUntil()) {
      return unavailable(handle);
    }
    long from = Math.max(reader.from(), state.first());
    int start = (int) Math.min(state.records().size(), from - state.first());
    int end = Math.min(state.records().size(), start + reader.max());
    List<LogProtocol.Read> records = new ArrayList<>();
    for (int i = start; i < end; i++) {
      records.add(new LogProtocol.Read(state.first() + i, state.records().get(i)));
    }
    String body = RECORDS.encode(new LogProtocol.Records(state.first(), state.end(), records));
    return new Reply(handle, OK, body, delay(state, now));
  }

  private static long delay(PlatformState state, long now) {
    return now < state.faults().logSlowUntil() ? SLOW_MILLIS : 0;
  }

  private static PlatformEffect unavailable(long handle) {
    return new Reply(handle, UNAVAILABLE, "down", 0);
  }

  private static Decision<PlatformState, PlatformEffect> register(
      PlatformState state, PlatformEvent.Register register) {
    Observation said = register.observation();
    Live known = state.live().get(said.id());
    boolean announced = known != null && known.observation().incarnation() == said.incarnation();
    Live next =
        announced && known != null
            ? new Live(known.observation(), register.control(), register.at())
            : new Live(said, register.control(), register.at());
    return Decision.of(
        state.withLive(state.live().plus(said.id(), next)),
        new Reply(register.handle(), OK, "registered", 0));
  }

  private static Decision<PlatformState, PlatformEffect> announce(
      PlatformState state, PlatformEvent.Announce announce) {
    Live known = state.live().get(announce.instance());
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
    Live live = new Live(next, known.control(), known.heardAt());
    return Decision.of(
        state.withLive(state.live().plus(o.id(), live)),
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
    Live known = state.live().get(restart.instance());
    if (known == null) {
      return Decision.of(
          state, new Reply(restart.handle(), BAD_REQUEST, "instance does not exist", 0));
    }
    Reply reply = new Reply(restart.handle(), OK, "restarting", 0);
    return known.observation().incarnation() > restart.incarnation()
        ? Decision.of(state, reply)
        : Decision.of(
            state, reply, new PlatformEffect.RestartAt(known.control(), restart.instance()));
  }

  private static Decision<PlatformState, PlatformEffect> fault(
      PlatformState state, PlatformEvent.Fault fault) {
    Faults now = state.faults();
    long until = fault.at() + fault.nanos();
    Faults next =
        switch (fault.kind()) {
          case "log-down" ->
              new Faults(until, now.logSlowUntil(), now.loseAnswersUntil(), now.listDownUntil());
          case "log-slow" ->
              new Faults(now.logDownUntil(), until, now.loseAnswersUntil(), now.listDownUntil());
          case "lose-answers" ->
              new Faults(now.logDownUntil(), now.logSlowUntil(), until, now.listDownUntil());
          case "list-down" ->
              new Faults(now.logDownUntil(), now.logSlowUntil(), now.loseAnswersUntil(), until);
          default -> Faults.NONE;
        };
    return Decision.of(state.withFaults(next), new Reply(fault.handle(), OK, next.toString(), 0));
  }

  /** Tells whether a condition may be announced by request. */
  static boolean isCondition(String text) {
    return List.of(Condition.values()).stream().anyMatch(c -> c.name().equals(text));
  }
}
