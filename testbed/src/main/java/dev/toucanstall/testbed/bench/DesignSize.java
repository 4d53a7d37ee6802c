package dev.toucanstall.testbed.bench;

import dev.toucanstall.core.event.Event;
import dev.toucanstall.core.model.Address;
import dev.toucanstall.core.model.DomainId;
import dev.toucanstall.core.model.InstanceId;
import dev.toucanstall.core.model.KeyDigest;
import dev.toucanstall.core.model.MemberId;
import dev.toucanstall.core.model.Producer;
import dev.toucanstall.core.peer.PeerMessage.Heartbeat;
import dev.toucanstall.core.record.Condition;
import dev.toucanstall.core.record.LogEntry;
import dev.toucanstall.core.record.Member;
import dev.toucanstall.core.record.Observation;
import dev.toucanstall.core.record.RecordBody;
import dev.toucanstall.core.reduce.Reducer;
import dev.toucanstall.core.settings.Assignment;
import dev.toucanstall.core.state.State;
import dev.toucanstall.core.state.Timing;
import java.util.ArrayList;
import java.util.List;

/**
 * Builds the control state of an entry instance for a system of a given size, by the reducer
 * itself.
 *
 * @param workers number of instances in the fleet
 * @param pools number of pools, each with a service
 * @param teams number of teams, each with a key
 * @param members number of entry instances
 */
public record DesignSize(int workers, int pools, int teams, int members) {

  /** Size that the system is designed for. */
  public static final DesignSize TARGET = new DesignSize(990, 185, 29, 64);

  private static final int SLOTS = 64;
  private static final int LIMIT = 6_400;

  /** Time at which the state is built, in nanoseconds of the monotonic clock. */
  static final long NOW = 1_000_000_000_000L;

  /** Returns the state of the first entry instance, up to date and with all slots released. */
  public State state() {
    List<LogEntry> log = log();
    State state = State.initial(member(0), Timing.DEFAULT, NOW);
    state = reduce(state, new Event.LogRead(NOW, NOW, 0, log.size(), log));
    for (int i = 1; i < members; i++) {
      state = reduce(state, new Event.LinkChanged(NOW, member(i).id(), true));
    }
    for (int beat = 0; beat < 2; beat++) {
      state = receiveHeartbeats(state, log.size() - 1);
      state = reduce(state, new Event.Tick(NOW + (beat + 1) * 1_000_000_000L));
    }
    return state;
  }

  /** Returns the state after one heartbeat from each peer. */
  State receiveHeartbeats(State state, long appliedOffset) {
    long epoch = state.appliedState().membership().epoch().number();
    long digest = state.appliedState().digest();
    State next = state;
    for (int i = 1; i < members; i++) {
      Heartbeat heartbeat =
          new Heartbeat(
              1, NOW, appliedOffset, epoch, epoch, epoch, List.of(), digest, appliedOffset);
      next = reduce(next, new Event.PeerReceived(NOW, member(i).id(), 1, heartbeat));
    }
    return next;
  }

  private static State reduce(State state, Event event) {
    return Reducer.reduce(state, event).state();
  }

  static Member member(int index) {
    return new Member(
        new MemberId("e" + index),
        1,
        new Address("10.0.0.1", 7000),
        new Address("10.0.0.1", 8000),
        "dc" + index % 10,
        new DomainId("rack" + index));
  }

  static KeyDigest key(int team) {
    return new KeyDigest("%064x".formatted(team));
  }

  private List<LogEntry> log() {
    List<LogEntry> log = new ArrayList<>();
    for (int i = 0; i < members; i++) {
      add(log, "e" + i, 1, new RecordBody.MemberJoined(member(i)));
      long change = log.size() - 1;
      for (int j = 0; j <= i; j++) {
        add(log, "e" + j, 2L + i, new RecordBody.MembershipAcknowledged(change));
      }
    }
    List<Assignment> settings = settings();
    add(log, "operator", 1, new RecordBody.SettingsChanged("/", -1, "bench", settings));
    List<Observation> observations = new ArrayList<>();
    for (int i = 0; i < workers; i++) {
      observations.add(observation(i));
    }
    add(log, "e0", 1_000, new RecordBody.InstancesObserved(observations));
    return log;
  }

  private static void add(List<LogEntry> log, String producer, long sequence, RecordBody body) {
    log.add(new LogEntry(log.size(), new Producer(producer, 1), sequence, body));
  }

  private static Observation observation(int index) {
    return new Observation(
        new InstanceId("w" + index),
        1,
        new Address("10.1.0.1", 9000),
        "dc" + index % 10,
        new DomainId("rack" + index / 4),
        SLOTS,
        Condition.UP);
  }

  private List<Assignment> settings() {
    List<Assignment> all = new ArrayList<>();
    for (int i = 0; i < pools; i++) {
      all.add(new Assignment("/pools/p%d/max-unavailable".formatted(i), "1"));
      all.add(new Assignment("/services/s%d/pool".formatted(i), "p" + i));
    }
    for (int i = 0; i < workers; i++) {
      all.add(new Assignment("/instances/w%d/pool".formatted(i), "p" + i % pools));
    }
    for (int i = 0; i < teams; i++) {
      all.add(new Assignment("/teams/t%d/share".formatted(i), String.valueOf(1 + i % 5)));
      all.add(new Assignment("/teams/t%d/limit".formatted(i), String.valueOf(LIMIT)));
      all.add(new Assignment("/teams/t%d/keys/k".formatted(i), key(i).value()));
    }
    return all;
  }
}
