package dev.toucanstall.core.reduce;

import dev.toucanstall.core.effect.Effect;
import dev.toucanstall.core.effect.OperatorAnswer;
import dev.toucanstall.core.event.Arrival;
import dev.toucanstall.core.event.AttemptResult;
import dev.toucanstall.core.event.Event;
import dev.toucanstall.core.event.OperatorRequest;
import dev.toucanstall.core.model.Address;
import dev.toucanstall.core.model.DomainId;
import dev.toucanstall.core.model.InstanceId;
import dev.toucanstall.core.model.KeyDigest;
import dev.toucanstall.core.model.MemberId;
import dev.toucanstall.core.model.RefusalCode;
import dev.toucanstall.core.model.TeamId;
import dev.toucanstall.core.model.Urgency;
import dev.toucanstall.core.model.Verdict;
import dev.toucanstall.core.peer.PeerMessage;
import dev.toucanstall.core.record.Condition;
import dev.toucanstall.core.record.LogEntry;
import dev.toucanstall.core.record.Member;
import dev.toucanstall.core.record.Observation;
import dev.toucanstall.core.settings.Assignment;
import dev.toucanstall.core.settings.SettingsPath;
import dev.toucanstall.core.state.State;
import dev.toucanstall.core.state.Timing;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import org.jspecify.annotations.Nullable;

/**
 * A few reducers joined by a fake log, lossy links and fake backend servers, in virtual time. Every
 * start of work is checked against what must always hold. Not thread-safe.
 */
final class LocalCluster {

  static final long MILLI = Duration.ofMillis(1).toNanos();
  static final long SECOND = Duration.ofSeconds(1).toNanos();
  static final Timing TIMING =
      new Timing(
          3 * SECOND,
          2 * SECOND,
          5 * SECOND,
          300 * MILLI,
          4 * SECOND,
          30 * SECOND,
          SECOND,
          SECOND,
          600 * SECOND,
          8 * SECOND,
          SECOND,
          20 * SECOND);

  private static final long TICK = 50 * MILLI;
  private static final long LOG_POLL = 200 * MILLI;
  private static final long LIST_POLL = SECOND;
  private static final long FIRST_CLOCK = 1_000 * SECOND;

  final Random random;
  final List<LogEntry> log = new ArrayList<>();
  final Map<String, Node> nodes = new TreeMap<>();
  final Map<InstanceId, Observation> fleet = new TreeMap<>();
  final List<Start> starts = new ArrayList<>();
  final Map<Long, String> outcomes = new HashMap<>();
  final Map<String, Integer> runsById = new HashMap<>();
  final List<OperatorAnswer> operatorAnswers = new ArrayList<>();
  private final Map<String, Long> lastRunAt = new HashMap<>();
  final Set<String> cuts = new HashSet<>();
  long now;
  boolean logUp = true;
  double lossOfAppends;
  double failures;
  long linkDelay = 2 * MILLI;
  long longestWork = SECOND;
  boolean countFromReceipt;
  int largestTeamUse;

  private final PriorityQueue<Scheduled> agenda = new PriorityQueue<>();
  private final Map<TeamId, Integer> runningByTeam = new HashMap<>();
  private final Map<InstanceId, Integer> runningByInstance = new HashMap<>();
  private final Map<Long, Set<Long>> startsOfRequest = new HashMap<>();
  private long lastScheduled;
  private long lastRequest;
  private long lastHandle;

  /** An event of virtual time. */
  private record Scheduled(long at, long order, Runnable action) implements Comparable<Scheduled> {
    @Override
    public int compareTo(Scheduled other) {
      int byTime = Long.compare(at, other.at);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  /** A start of work on a backend server. */
  record Start(long at, String node, @Nullable KeyDigest key, InstanceId instance) {}

  /** One entry instance. */
  final class Node {
    final String name;
    final int rack;
    final long clockAhead;
    State state;
    long incarnation;
    boolean alive = true;
    long frozenUntil;
    final List<Runnable> whileFrozen = new ArrayList<>();
    final Map<Long, Submission> held = new HashMap<>();
    @Nullable Integer exitStatus;

    Node(String name, int rack) {
      this.name = name;
      this.rack = rack;
      this.clockAhead = FIRST_CLOCK + random.nextInt(1_000) * SECOND;
      this.incarnation = 1;
      this.state = State.initial(member(), TIMING, clock());
    }

    Member member() {
      return new Member(
          new MemberId(name),
          incarnation,
          new Address("127.0.0.1", 7000),
          new Address("127.0.0.1", 8000),
          "dc" + rack % 3,
          new DomainId("rack" + rack));
    }

    long clock() {
      return now + clockAhead;
    }

    boolean isFrozen() {
      return now < frozenUntil;
    }
  }

  /** A request as submitted through one entry instance. */
  record Submission(
      long number, Arrival arrival, String node, long incarnation, AtomicBoolean started) {}

  LocalCluster(long seed, int size) {
    random = new Random(seed);
    for (int i = 0; i < size; i++) {
      Node node = new Node("e" + i, i);
      nodes.put(node.name, node);
      startLoops(node);
    }
  }

  Node node(int index) {
    return Objects.requireNonNull(nodes.get("e" + index));
  }

  private void startLoops(Node node) {
    long incarnation = node.incarnation;
    every(TICK, node, incarnation, () -> deliver(node, new Event.Tick(node.clock())));
    every(LOG_POLL, node, incarnation, () -> readLog(node, incarnation));
    every(
        LIST_POLL,
        node,
        incarnation,
        () -> deliver(node, new Event.ListRead(node.clock(), List.copyOf(fleet.values()))));
  }

  private void every(long period, Node node, long incarnation, Runnable action) {
    at(
        now + period / 2 + random.nextInt((int) period),
        () -> {
          if (!node.alive || node.incarnation != incarnation) {
            return;
          }
          if (!node.isFrozen()) {
            action.run();
          }
          every(period, node, incarnation, action);
        });
  }

  private void whenAwake(Node node, Runnable action) {
    if (!node.isFrozen()) {
      action.run();
    } else {
      node.whileFrozen.add(action);
    }
  }

  /** Runs an action at a time. */
  void at(long time, Runnable action) {
    lastScheduled++;
    agenda.add(new Scheduled(time, lastScheduled, action));
  }

  /** Lets virtual time pass. */
  void run(long nanos) {
    long until = now + nanos;
    while (!agenda.isEmpty() && agenda.peek().at <= until) {
      Scheduled next = agenda.remove();
      now = Math.max(now, next.at);
      next.action.run();
    }
    now = until;
  }

  /** Lets virtual time pass in steps until a condition holds, at most for a time. */
  boolean runUntil(long nanos, BooleanSupplier condition) {
    long until = now + nanos;
    while (now < until && !condition.getAsBoolean()) {
      run(20 * MILLI);
    }
    return condition.getAsBoolean();
  }

  private void readLog(Node node, long incarnation) {
    long askedAt = node.clock();
    at(
        now + delay(),
        () -> {
          if (!logUp) {
            return;
          }
          int from = (int) Math.min(log.size(), node.state.appliedState().offset() + 1);
          List<LogEntry> entries = List.copyOf(log.subList(from, log.size()));
          long end = log.size();
          at(
              now + delay(),
              () -> {
                if (node.alive && node.incarnation == incarnation) {
                  whenAwake(
                      node,
                      () ->
                          deliver(
                              node,
                              new Event.LogRead(
                                  node.clock(),
                                  countFromReceipt ? node.clock() : askedAt,
                                  0,
                                  end,
                                  entries)));
                }
              });
        });
  }

  private long delay() {
    return MILLI / 2 + random.nextInt((int) linkDelay);
  }

  /** Gives an event to a node's reducer and carries out its effects. */
  void deliver(Node node, Event event) {
    Transition step = Reducer.reduce(node.state, event);
    node.state = step.state();
    step.effects().forEach(effect -> carryOut(node, effect));
    if (inForce != null) {
      inForce.observe();
    }
  }

  private void carryOut(Node node, Effect effect) {
    switch (effect) {
      case Effect.StartAttempt start -> {
        long incarnation = node.incarnation;
        at(now + 50_000, () -> whenAlive(node, incarnation, () -> attempt(node, start)));
      }
      case Effect.Refuse refuse -> refused(node, refuse);
      case Effect.PassErrorAnswer pass -> end(node, pass.number(), "error-answer");
      case Effect.EndRequest end -> end(node, end.number(), "ok");
      case Effect.Append append -> append(append);
      case Effect.Send send -> send(node, send);
      case Effect.LinkTo link -> linkTo(node, link.peers());
      case Effect.AnswerOperator answer -> operatorAnswers.add(answer.answer());
      case Effect.RestartInstance restart -> restartInstance(restart);
      case Effect.Alarm alarm -> alarm(alarm);
      case Effect.Exit exit -> {
        node.exitStatus = exit.status();
        node.alive = false;
      }
      default -> {}
    }
  }

  private static void alarm(Effect.Alarm alarm) {
    if (alarm.name().equals("state-diverged")) {
      throw new AssertionError(alarm.text());
    }
  }

  private void whenAlive(Node node, long incarnation, Runnable action) {
    if (node.alive && node.incarnation == incarnation) {
      whenAwake(node, action);
    }
  }

  private void append(Effect.Append append) {
    if (random.nextDouble() < lossOfAppends) {
      return;
    }
    int copies = random.nextDouble() < lossOfAppends ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      at(
          now + delay(),
          () -> {
            if (logUp) {
              log.add(
                  new LogEntry(log.size(), append.producer(), append.sequence(), append.body()));
            }
          });
    }
  }

  private void send(Node node, Effect.Send send) {
    Node to = nodes.get(send.to().value());
    if (to == null || isCut(node, to)) {
      return;
    }
    MemberId from = new MemberId(node.name);
    long incarnation = node.incarnation;
    long target = to.incarnation;
    at(
        now + delay(),
        () -> {
          if (!isCut(node, to)) {
            whenAlive(
                to,
                target,
                () ->
                    deliver(
                        to,
                        new Event.PeerReceived(
                            to.clock(), from, incarnation, seen(to, send.message()))));
          }
        });
  }

  /** A broken variant: freshness counted from when an answer came. */
  private PeerMessage seen(Node to, PeerMessage message) {
    return countFromReceipt && message instanceof PeerMessage.Heartbeat h
        ? new PeerMessage.Heartbeat(
            h.sentAt(),
            h.echo() == 0 ? 0 : to.clock(),
            h.folded(),
            h.shrunkTo(),
            h.cleared(),
            h.claimsFrom(),
            h.busy(),
            h.digest(),
            h.digestAt())
        : message;
  }

  private boolean isCut(Node from, Node to) {
    return cuts.contains(from.name + ">" + to.name);
  }

  private void linkTo(Node node, List<Member> peers) {
    long incarnation = node.incarnation;
    for (Member peer : peers) {
      at(
          now + delay(),
          () ->
              whenAlive(
                  node,
                  incarnation,
                  () -> deliver(node, new Event.LinkChanged(node.clock(), peer.id(), true))));
    }
  }

  private void restartInstance(Effect.RestartInstance restart) {
    Observation known = fleet.get(restart.instance());
    if (known == null || known.incarnation() != restart.incarnation()) {
      return;
    }
    check(
        runningByInstance.getOrDefault(restart.instance(), 0) == 0,
        "planned stop cuts work at " + restart.instance());
    fleet.remove(restart.instance());
    at(now + SECOND, () -> fleet.put(known.id(), observation(known, known.incarnation() + 1)));
  }

  private static Observation observation(Observation o, long incarnation) {
    return new Observation(
        o.id(), incarnation, o.address(), o.datacentre(), o.domain(), o.slots(), Condition.UP);
  }

  // Requests.

  /** Adds an instance to the fleet. */
  void addInstance(String name, int rack, int slots) {
    InstanceId id = new InstanceId(name);
    fleet.put(
        id,
        new Observation(
            id,
            1,
            new Address("127.0.0.1", 9000),
            "dc1",
            new DomainId("r" + rack),
            slots,
            Condition.UP));
  }

  /** Submits a request through a node; returns its number. */
  long submit(Node node, KeyDigest key, @Nullable String id, boolean idempotent, long patience) {
    lastRequest++;
    long number = lastRequest;
    Arrival arrival =
        new Arrival(key, "svc", id, idempotent, true, Urgency.URGENT, node.clock() + patience);
    if (!node.alive) {
      return number;
    }
    if (node.exitStatus != null) {
      return number;
    }
    long incarnation = node.incarnation;
    node.held.put(
        number, new Submission(number, arrival, node.name, incarnation, new AtomicBoolean()));
    whenAwake(node, () -> deliver(node, new Event.RequestArrived(node.clock(), number, arrival)));
    at(
        now + patience,
        () ->
            whenAlive(
                node,
                incarnation,
                () -> {
                  if (node.held.containsKey(number)) {
                    deliver(node, new Event.WaitEnded(node.clock(), number));
                  }
                }));
    return number;
  }

  /** Checks starts against what is in force from now on. */
  void watch(InForce watcher) {
    inForce = watcher;
    watcher.observe();
  }

  private void attempt(Node node, Effect.StartAttempt start) {
    Submission submission = node.held.get(start.number());
    if (submission == null) {
      throw new AssertionError("attempt of request that is not held: " + start);
    }
    if (node.clock() > start.validUntil()) {
      deliver(
          node,
          new Event.AttemptEnded(
              node.clock(), start.number(), start.instance(), new AttemptResult.StartExpired()));
      return;
    }
    submission.started.set(true);
    KeyDigest key = submission.arrival.keyDigest();
    check(
        inForce == null || key == null || !inForce.isWithdrawn(key),
        node.name + " starts work under a withdrawn key");
    starts.add(new Start(now, node.name, submission.arrival.keyDigest(), start.instance()));
    count(start, 1);
    String id = submission.arrival.requestId();
    if (id != null && !submission.arrival.idempotent()) {
      checkFirstRun(id, node);
    }
    long deadline = start.latestEndAt() - node.clockAhead;
    long end =
        Math.min(
            Math.max(now, deadline), now + 10 * MILLI + (long) (random.nextDouble() * longestWork));
    at(end, () -> count(start, -1));
    boolean fails = random.nextDouble() < failures;
    at(fails ? now + (end - now) / 2 : end, () -> finish(node, submission, start, fails));
  }

  /** An id is claimed for the claim window; a later submission is a new request. */
  private void checkFirstRun(String id, Node node) {
    long window = TIMING.claimWindow() - TIMING.freshness();
    Long before = lastRunAt.put(id, now);
    check(
        before == null || now - before >= window,
        "request id %s runs again at %s, first at %s".formatted(id, node.name, before));
    runsById.merge(id, 1, Integer::sum);
  }

  private void finish(Node node, Submission submission, Effect.StartAttempt start, boolean fails) {
    AttemptResult result =
        fails
            ? new AttemptResult.Failed(
                RefusalCode.BACKEND_FAILED, Verdict.MAY_HAVE_RUN, "connection lost")
            : new AttemptResult.Answered(200, true);
    whenAlive(
        node,
        submission.incarnation,
        () ->
            deliver(
                node,
                new Event.AttemptEnded(node.clock(), start.number(), start.instance(), result)));
  }

  private void count(Effect.StartAttempt start, int by) {
    int ofTeam = runningByTeam.merge(start.team(), by, Integer::sum);
    largestTeamUse = Math.max(largestTeamUse, ofTeam);
    int ofInstance = runningByInstance.merge(start.instance(), by, Integer::sum);
    if (by < 0) {
      return;
    }
    int most = inForce == null ? limit : inForce.highestLimit();
    check(ofTeam <= most, "team " + start.team() + " runs " + ofTeam + " over " + most);
    int slots = Objects.requireNonNull(fleet.get(start.instance()), "gone").slots();
    check(
        ofInstance <= slots,
        "instance " + start.instance() + " runs " + ofInstance + " over " + slots);
  }

  private @Nullable InForce inForce;

  /** The highest limit that the team's work may still be running under. */
  int limit = Integer.MAX_VALUE;

  private void refused(Node node, Effect.Refuse refuse) {
    Submission submission = node.held.get(refuse.number());
    if (submission == null) {
      return;
    }
    boolean notRun = refuse.refusal().verdict() == Verdict.NOT_RUN;
    check(
        !(notRun && submission.started.get()),
        "refusal says not-run but the request ran: " + refuse);
    end(node, refuse.number(), refuse.refusal().code().text());
  }

  private void end(Node node, long number, String outcome) {
    node.held.remove(number);
    outcomes.put(number, outcome);
    startsOfRequest.remove(number);
  }

  private void check(boolean holds, String what) {
    if (!holds) {
      throw new AssertionError("at %d ms: %s".formatted(now / MILLI, what));
    }
  }

  // Faults and operators.

  /** Ends a node at once; what it started goes on running. */
  void kill(Node node) {
    node.alive = false;
    node.held.clear();
  }

  /** Starts a killed node again under the same name, with nothing kept. */
  void restart(Node node) {
    node.incarnation++;
    node.alive = true;
    node.exitStatus = null;
    node.frozenUntil = 0;
    node.whileFrozen.clear();
    node.state = State.initial(node.member(), TIMING, node.clock());
    startLoops(node);
  }

  /** Stops a node's threads for a time; then they go on where they were. */
  void freeze(Node node, long nanos) {
    node.frozenUntil = now + nanos;
    at(
        now + nanos,
        () -> {
          List<Runnable> waiting = List.copyOf(node.whileFrozen);
          node.whileFrozen.clear();
          waiting.forEach(Runnable::run);
        });
  }

  /** Cuts a node from others in one or both directions. */
  void cut(Node node, boolean out, boolean in) {
    for (Node other : nodes.values()) {
      if (out) {
        cuts.add(node.name + ">" + other.name);
      }
      if (in) {
        cuts.add(other.name + ">" + node.name);
      }
    }
  }

  /** Writes settings through a node against the version that it knows. */
  void set(Node node, String... pathsAndValues) {
    List<Assignment> assignments = new ArrayList<>();
    for (int i = 0; i < pathsAndValues.length; i += 2) {
      String value = pathsAndValues[i + 1];
      assignments.add(new Assignment(pathsAndValues[i], value.isEmpty() ? null : value));
    }
    lastHandle++;
    OperatorRequest change =
        new OperatorRequest.ChangeSettings(
            "c" + lastHandle,
            "/",
            node.state.appliedState().tree().version(SettingsPath.ROOT),
            "test",
            assignments);
    deliver(node, new Event.OperatorAsked(node.clock(), lastHandle, change));
  }

  /** Lets members join, then sets up four instances, a pool, a service and a team with a key. */
  boolean configure(int teamLimit) {
    for (int i = 0; i < 4; i++) {
      addInstance("w" + i, i / 2, 8);
    }
    boolean settled = runUntil(30 * SECOND, this::isSettled);
    set(
        node(0),
        "/pools/p/max-unavailable",
        "1",
        "/services/svc/pool",
        "p",
        "/teams/t/limit",
        String.valueOf(teamLimit),
        "/teams/t/keys/k0",
        key(0).value(),
        "/instances/w0/pool",
        "p",
        "/instances/w1/pool",
        "p",
        "/instances/w2/pool",
        "p",
        "/instances/w3/pool",
        "p");
    run(3 * SECOND);
    return settled;
  }

  /** Asks a node something as an operator. */
  OperatorAnswer ask(Node node, OperatorRequest request) {
    lastHandle++;
    int before = operatorAnswers.size();
    deliver(node, new Event.OperatorAsked(node.clock(), lastHandle, request));
    return operatorAnswers.get(before);
  }

  /** Tells whether all nodes that live are settled members and have folded the whole log. */
  boolean isSettled() {
    return nodes.values().stream()
        .filter(node -> node.alive)
        .allMatch(
            node ->
                node.state.isMember()
                    && node.state.appliedState().membership().pending().isEmpty()
                    && node.state.appliedState().offset() == log.size() - 1);
  }

  static KeyDigest key(int number) {
    return new KeyDigest("%064x".formatted(number));
  }
}
