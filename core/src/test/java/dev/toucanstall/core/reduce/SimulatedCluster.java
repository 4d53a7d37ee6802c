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
 * Simulation of several entry instances in simulated time, with a fake log, lossy links and fake
 * backend servers.
 *
 * <p>Every start of work is checked against the invariants, and a violation throws an {@link
 * AssertionError}. A seed determines the whole run. Not thread-safe.
 */
final class SimulatedCluster {

  static final long MILLI = Duration.ofMillis(1).toNanos();
  static final long SECOND = Duration.ofSeconds(1).toNanos();

  /** Timing of the nodes, with shorter deadlines and intervals than in production. */
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

  private static final long TICK_INTERVAL = 50 * MILLI;
  private static final long LOG_POLL_INTERVAL = 200 * MILLI;
  private static final long LIST_POLL_INTERVAL = SECOND;

  /** Smallest offset between the clock of a node and the simulated time. */
  private static final long MIN_CLOCK_OFFSET = 1_000 * SECOND;

  final Random random;
  final List<LogEntry> log = new ArrayList<>();
  final Map<String, Node> nodes = new TreeMap<>();
  final Map<InstanceId, Observation> fleet = new TreeMap<>();
  final List<Start> starts = new ArrayList<>();

  /** Outcomes of finished requests by number: "ok", "error-answer" or the code of a refusal. */
  final Map<Long, String> outcomes = new HashMap<>();

  /** Number of runs of non-idempotent requests by request id. */
  final Map<String, Integer> runsById = new HashMap<>();

  final List<OperatorAnswer> operatorAnswers = new ArrayList<>();
  private final Map<String, Long> lastRunAt = new HashMap<>();

  /** Broken links, each as "from>to" with the names of the nodes. */
  final Set<String> brokenLinks = new HashSet<>();

  /** Simulated time, in nanoseconds. */
  long now;

  boolean logAvailable = true;

  /**
   * Probability that an append is lost; one that is not lost is duplicated with the same
   * probability.
   */
  double appendLossRate;

  double failureRate;

  /** Range of the random part of the delay of a link in one direction, in nanoseconds. */
  long linkDelayRange = 2 * MILLI;

  /** Range of the random part of the run time of a request, in nanoseconds. */
  long runTimeRange = SECOND;

  /** Selects the faulty variant that counts freshness from the receipt of a reply. */
  boolean freshnessFromReceipt;

  /** Highest number of requests of a team that ran at once. */
  int maxTeamRunning;

  private final PriorityQueue<Scheduled> scheduledActions = new PriorityQueue<>();
  private final Map<TeamId, Integer> runningByTeam = new HashMap<>();
  private final Map<InstanceId, Integer> runningByInstance = new HashMap<>();
  private final Map<Long, Set<Long>> startsOfRequest = new HashMap<>();
  private long lastScheduledOrder;
  private long lastRequestNumber;
  private long lastHandle;

  /** Action at a simulated time in nanoseconds; the order decides between equal times. */
  private record Scheduled(long at, long order, Runnable action) implements Comparable<Scheduled> {
    @Override
    public int compareTo(Scheduled other) {
      int byTime = Long.compare(at, other.at);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  /** Start of work at a simulated time in nanoseconds; the key is null for an anonymous caller. */
  record Start(long at, String node, @Nullable KeyDigest key, InstanceId instance) {}

  /** One entry instance, with a monotonic clock of its own. */
  final class Node {
    final String name;
    final int rack;
    final long clockOffset;
    State state;
    long incarnation;
    boolean alive = true;
    long frozenUntil;
    final List<Runnable> deferredActions = new ArrayList<>();
    final Map<Long, Submission> openRequests = new HashMap<>();
    @Nullable Integer exitStatus;

    Node(String name, int rack) {
      this.name = name;
      this.rack = rack;
      this.clockOffset = MIN_CLOCK_OFFSET + random.nextInt(1_000) * SECOND;
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
      return now + clockOffset;
    }

    boolean isFrozen() {
      return now < frozenUntil;
    }
  }

  /** Request as submitted through an incarnation of a node; started once it has run anywhere. */
  record Submission(
      long number, Arrival arrival, String node, long incarnation, AtomicBoolean started) {}

  SimulatedCluster(long seed, int size) {
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
    schedulePeriodically(
        TICK_INTERVAL, node, incarnation, () -> deliver(node, new Event.Tick(node.clock())));
    schedulePeriodically(LOG_POLL_INTERVAL, node, incarnation, () -> readLog(node, incarnation));
    schedulePeriodically(
        LIST_POLL_INTERVAL,
        node,
        incarnation,
        () -> deliver(node, new Event.ListRead(node.clock(), List.copyOf(fleet.values()))));
  }

  /** Schedules an action periodically until the incarnation ends; a frozen node skips it. */
  private void schedulePeriodically(long period, Node node, long incarnation, Runnable action) {
    schedule(
        now + period / 2 + random.nextInt((int) period),
        () -> {
          if (!node.alive || node.incarnation != incarnation) {
            return;
          }
          if (!node.isFrozen()) {
            action.run();
          }
          schedulePeriodically(period, node, incarnation, action);
        });
  }

  /** Runs an action at once, or when the node is no longer frozen. */
  private void runWhenAwake(Node node, Runnable action) {
    if (!node.isFrozen()) {
      action.run();
    } else {
      node.deferredActions.add(action);
    }
  }

  /** Schedules an action at a simulated time, in nanoseconds. */
  void schedule(long time, Runnable action) {
    lastScheduledOrder++;
    scheduledActions.add(new Scheduled(time, lastScheduledOrder, action));
  }

  void advance(long nanos) {
    long until = now + nanos;
    while (!scheduledActions.isEmpty() && scheduledActions.peek().at <= until) {
      Scheduled next = scheduledActions.remove();
      now = Math.max(now, next.at);
      next.action.run();
    }
    now = until;
  }

  /** Advances the simulated time until a condition holds, but at most by the given nanoseconds. */
  boolean advanceUntil(long nanos, BooleanSupplier condition) {
    long until = now + nanos;
    while (now < until && !condition.getAsBoolean()) {
      advance(20 * MILLI);
    }
    return condition.getAsBoolean();
  }

  /** Reads the log for a node: both the request and the reply are delayed. */
  private void readLog(Node node, long incarnation) {
    long requestedAt = node.clock();
    schedule(
        now + delay(),
        () -> {
          if (!logAvailable) {
            return;
          }
          int firstIndex = (int) Math.min(log.size(), node.state.appliedState().offset() + 1);
          List<LogEntry> entries = List.copyOf(log.subList(firstIndex, log.size()));
          long endOffset = log.size();
          schedule(
              now + delay(),
              () -> {
                if (node.alive && node.incarnation == incarnation) {
                  runWhenAwake(
                      node,
                      () ->
                          deliver(
                              node,
                              new Event.LogRead(
                                  node.clock(),
                                  freshnessFromReceipt ? node.clock() : requestedAt,
                                  0,
                                  endOffset,
                                  entries)));
                }
              });
        });
  }

  /** Returns a random delay of one direction of a link, in nanoseconds. */
  private long delay() {
    return MILLI / 2 + random.nextInt((int) linkDelayRange);
  }

  /** Applies an event to a node's state and carries out the effects. */
  void deliver(Node node, Event event) {
    Transition transition = Reducer.reduce(node.state, event);
    node.state = transition.state();
    transition.effects().forEach(effect -> execute(node, effect));
    if (oracle != null) {
      oracle.update();
    }
  }

  private void execute(Node node, Effect effect) {
    switch (effect) {
      case Effect.StartAttempt start -> {
        long incarnation = node.incarnation;
        schedule(
            now + 50_000, () -> runIfAlive(node, incarnation, () -> startAttempt(node, start)));
      }
      case Effect.Refuse refuse -> handleRefusal(node, refuse);
      case Effect.PassErrorAnswer pass -> complete(node, pass.number(), "error-answer");
      case Effect.EndRequest end -> complete(node, end.number(), "ok");
      case Effect.Append append -> append(append);
      case Effect.Send send -> send(node, send);
      case Effect.LinkTo link -> linkTo(node, link.peers());
      case Effect.AnswerOperator answer -> operatorAnswers.add(answer.answer());
      case Effect.RestartInstance restart -> restartInstance(restart);
      case Effect.Alarm alarm -> checkAlarm(alarm);
      case Effect.Exit exit -> {
        node.exitStatus = exit.status();
        node.alive = false;
      }
      default -> {}
    }
  }

  /** Fails if nodes have different states at the same offset; ignores other alarms. */
  private static void checkAlarm(Effect.Alarm alarm) {
    if (alarm.name().equals("state-diverged")) {
      throw new AssertionError(alarm.text());
    }
  }

  /** Runs an action if the incarnation still lives, after the end of a freeze. */
  private void runIfAlive(Node node, long incarnation, Runnable action) {
    if (node.alive && node.incarnation == incarnation) {
      runWhenAwake(node, action);
    }
  }

  /** Appends a record to the log after a delay; the record may be lost or appended twice. */
  private void append(Effect.Append append) {
    if (random.nextDouble() < appendLossRate) {
      return;
    }
    int copies = random.nextDouble() < appendLossRate ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      schedule(
          now + delay(),
          () -> {
            if (logAvailable) {
              log.add(
                  new LogEntry(log.size(), append.producer(), append.sequence(), append.body()));
            }
          });
    }
  }

  private void send(Node node, Effect.Send send) {
    Node to = nodes.get(send.to().value());
    if (to == null || isLinkBroken(node, to)) {
      return;
    }
    MemberId from = new MemberId(node.name);
    long incarnation = node.incarnation;
    long receiverIncarnation = to.incarnation;
    schedule(
        now + delay(),
        () -> {
          if (!isLinkBroken(node, to)) {
            runIfAlive(
                to,
                receiverIncarnation,
                () ->
                    deliver(
                        to,
                        new Event.PeerReceived(
                            to.clock(), from, incarnation, asReceived(to, send.message()))));
          }
        });
  }

  /**
   * Returns the message as received. In the faulty variant that the tests must detect, the echo is
   * replaced by the time of receipt, so that freshness counts from the arrival of a reply.
   */
  private PeerMessage asReceived(Node to, PeerMessage message) {
    return freshnessFromReceipt && message instanceof PeerMessage.Heartbeat heartbeat
        ? new PeerMessage.Heartbeat(
            heartbeat.sentAt(),
            heartbeat.echo() == 0 ? 0 : to.clock(),
            heartbeat.folded(),
            heartbeat.shrunkTo(),
            heartbeat.cleared(),
            heartbeat.claimsFrom(),
            heartbeat.busy(),
            heartbeat.digest(),
            heartbeat.digestAt())
        : message;
  }

  private boolean isLinkBroken(Node from, Node to) {
    return brokenLinks.contains(from.name + ">" + to.name);
  }

  private void linkTo(Node node, List<Member> peers) {
    long incarnation = node.incarnation;
    for (Member peer : peers) {
      schedule(
          now + delay(),
          () ->
              runIfAlive(
                  node,
                  incarnation,
                  () -> deliver(node, new Event.LinkChanged(node.clock(), peer.id(), true))));
    }
  }

  /** Restarts an instance of the fleet, which must run nothing. */
  private void restartInstance(Effect.RestartInstance restart) {
    Observation known = fleet.get(restart.instance());
    if (known == null || known.incarnation() != restart.incarnation()) {
      return;
    }
    check(
        runningByInstance.getOrDefault(restart.instance(), 0) == 0,
        "restart of an instance that still runs work: " + restart.instance());
    fleet.remove(restart.instance());
    schedule(
        now + SECOND, () -> fleet.put(known.id(), observation(known, known.incarnation() + 1)));
  }

  private static Observation observation(Observation previous, long incarnation) {
    return new Observation(
        previous.id(),
        incarnation,
        previous.address(),
        previous.datacentre(),
        previous.domain(),
        previous.slots(),
        Condition.UP);
  }

  // Requests.

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

  /**
   * Submits a request through a node. A request to a node that is down has no outcome.
   *
   * @param id id of the request, null for none
   * @param idempotent whether the request may run more than once
   * @param timeout time to its deadline, in nanoseconds
   * @return the number of the request
   */
  long submit(Node node, KeyDigest key, @Nullable String id, boolean idempotent, long timeout) {
    lastRequestNumber++;
    long number = lastRequestNumber;
    Arrival arrival =
        new Arrival(key, "svc", id, idempotent, true, Urgency.URGENT, node.clock() + timeout);
    if (!node.alive) {
      return number;
    }
    if (node.exitStatus != null) {
      return number;
    }
    long incarnation = node.incarnation;
    node.openRequests.put(
        number, new Submission(number, arrival, node.name, incarnation, new AtomicBoolean()));
    runWhenAwake(
        node, () -> deliver(node, new Event.RequestArrived(node.clock(), number, arrival)));
    schedule(
        now + timeout,
        () ->
            runIfAlive(
                node,
                incarnation,
                () -> {
                  if (node.openRequests.containsKey(number)) {
                    deliver(node, new Event.WaitEnded(node.clock(), number));
                  }
                }));
    return number;
  }

  /** Checks starts of work against the changes in force from now on. */
  void setOracle(InForceOracle newOracle) {
    oracle = newOracle;
    newOracle.update();
  }

  private void startAttempt(Node node, Effect.StartAttempt start) {
    Submission submission = node.openRequests.get(start.number());
    if (submission == null) {
      throw new AssertionError("attempt of an unknown request: " + start);
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
        oracle == null || key == null || !oracle.isWithdrawn(key),
        node.name + " starts work under a withdrawn key");
    starts.add(new Start(now, node.name, submission.arrival.keyDigest(), start.instance()));
    countRunning(start, 1);
    String id = submission.arrival.requestId();
    if (id != null && !submission.arrival.idempotent()) {
      checkFirstRun(id, node);
    }
    long deadline = start.latestEndAt() - node.clockOffset;
    long endAt =
        Math.min(
            Math.max(now, deadline),
            now + 10 * MILLI + (long) (random.nextDouble() * runTimeRange));
    schedule(endAt, () -> countRunning(start, -1));
    boolean fails = random.nextDouble() < failureRate;
    schedule(fails ? now + (endAt - now) / 2 : endAt, () -> finish(node, submission, start, fails));
  }

  /**
   * Checks that an id does not run twice within the claim window less the freshness time. A later
   * submission counts as a new request.
   */
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
    runIfAlive(
        node,
        submission.incarnation,
        () ->
            deliver(
                node,
                new Event.AttemptEnded(node.clock(), start.number(), start.instance(), result)));
  }

  /**
   * Counts a start or an end of work and checks the limit of the team and the slots of the
   * instance.
   *
   * @param delta 1 for a start, -1 for an end
   */
  private void countRunning(Effect.StartAttempt start, int delta) {
    int runningOfTeam = runningByTeam.merge(start.team(), delta, Integer::sum);
    maxTeamRunning = Math.max(maxTeamRunning, runningOfTeam);
    int runningOnInstance = runningByInstance.merge(start.instance(), delta, Integer::sum);
    if (delta < 0) {
      return;
    }
    int maxRunning = oracle == null ? limit : oracle.highestLimit();
    check(
        runningOfTeam <= maxRunning,
        "team "
            + start.team()
            + " runs "
            + runningOfTeam
            + " requests, over its limit of "
            + maxRunning);
    int slots =
        Objects.requireNonNull(fleet.get(start.instance()), "instance not in the fleet").slots();
    check(
        runningOnInstance <= slots,
        "instance "
            + start.instance()
            + " runs "
            + runningOnInstance
            + " requests, over its slots of "
            + slots);
  }

  private @Nullable InForceOracle oracle;

  /** Limit of the team, used for the check while no oracle is set. */
  int limit = Integer.MAX_VALUE;

  /** Records a refusal, which must not say that a started request did not run. */
  private void handleRefusal(Node node, Effect.Refuse refuse) {
    Submission submission = node.openRequests.get(refuse.number());
    if (submission == null) {
      return;
    }
    boolean notRun = refuse.refusal().verdict() == Verdict.NOT_RUN;
    check(
        !(notRun && submission.started.get()),
        "refusal says not-run but the request ran: " + refuse);
    complete(node, refuse.number(), refuse.refusal().code().text());
  }

  private void complete(Node node, long number, String outcome) {
    node.openRequests.remove(number);
    outcomes.put(number, outcome);
    startsOfRequest.remove(number);
  }

  private void check(boolean condition, String message) {
    if (!condition) {
      throw new AssertionError("at %d ms: %s".formatted(now / MILLI, message));
    }
  }

  // Faults and operators.

  /** Kills a node. Its requests go on running on the backend servers. */
  void kill(Node node) {
    node.alive = false;
    node.openRequests.clear();
  }

  /** Starts a new incarnation of a node, without any state of the earlier one. */
  void restart(Node node) {
    node.incarnation++;
    node.alive = true;
    node.exitStatus = null;
    node.frozenUntil = 0;
    node.deferredActions.clear();
    node.state = State.initial(node.member(), TIMING, node.clock());
    startLoops(node);
  }

  /**
   * Suspends a node, as a long pause of its process does. Messages that arrive meanwhile are
   * handled when the suspension ends.
   */
  void freeze(Node node, long nanos) {
    node.frozenUntil = now + nanos;
    schedule(
        now + nanos,
        () -> {
          List<Runnable> waiting = List.copyOf(node.deferredActions);
          node.deferredActions.clear();
          waiting.forEach(Runnable::run);
        });
  }

  /**
   * Cuts the links between a node and all others.
   *
   * @param out whether messages from the node are lost
   * @param in whether messages to the node are lost
   */
  void cutLinks(Node node, boolean out, boolean in) {
    for (Node other : nodes.values()) {
      if (out) {
        brokenLinks.add(node.name + ">" + other.name);
      }
      if (in) {
        brokenLinks.add(other.name + ">" + node.name);
      }
    }
  }

  /**
   * Changes settings through a node, based on the version that the node has.
   *
   * @param pathsAndValues paths and values in turn; an empty value deletes the setting
   */
  void changeSettings(Node node, String... pathsAndValues) {
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

  /**
   * Adds four instances, waits until the nodes are members, and sets up a pool, a service and a
   * team with a key.
   *
   * @return whether all nodes became members in time
   */
  boolean configure(int teamLimit) {
    for (int i = 0; i < 4; i++) {
      addInstance("w" + i, i / 2, 8);
    }
    boolean settled = advanceUntil(30 * SECOND, this::isSettled);
    changeSettings(
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
    advance(3 * SECOND);
    return settled;
  }

  OperatorAnswer query(Node node, OperatorRequest request) {
    lastHandle++;
    int answerCount = operatorAnswers.size();
    deliver(node, new Event.OperatorAsked(node.clock(), lastHandle, request));
    return operatorAnswers.get(answerCount);
  }

  /** Tells whether all live nodes are active members and have applied the whole log. */
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
