package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.Account;
import dev.toucanstall.core.job.Catalog;
import dev.toucanstall.core.job.FinishedRun;
import dev.toucanstall.core.job.JobAnswer;
import dev.toucanstall.core.job.JobCall;
import dev.toucanstall.core.job.JobRecord;
import dev.toucanstall.core.job.JobSpec;
import dev.toucanstall.core.job.MachineEntry;
import dev.toucanstall.core.job.Queue;
import dev.toucanstall.core.job.Resources;
import dev.toucanstall.core.job.ServerEntry;
import dev.toucanstall.core.job.StepSpec;
import dev.toucanstall.core.job.TaskKey;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;

/**
 * Simulates planners, the store, machines and backend servers in virtual time; any call can be
 * lost, delayed or refused. Checks the invariants of runs at each event and collects the
 * violations.
 */
final class PlanWorld implements FakeServer.Observer {

  /** Pool of the first queue. */
  static final String SERVICE = "s";

  /** Pool of the second queue. */
  static final String OTHER_SERVICE = "t";

  /** First queue. */
  static final String QUEUE = "q";

  /** Client account that submits jobs. */
  static final String ACCOUNT = "a";

  /** Pool of machines that are switched off. */
  static final String SPARE = "spare";

  /** Time between two ticks, in milliseconds. */
  private static final long TICK_MS = 20;

  /** Time between two reads of the list of backend servers, in milliseconds. */
  private static final long BEAT_MS = 500;

  /** A planner during one term. */
  final class Planner {

    /** State of the planner. */
    final Plan plan;

    /** Whether the planner handles events. */
    boolean alive = true;

    /** Whether events wait. */
    private boolean busy;

    /** Events that wait until the planner is no longer busy. */
    private final List<PlanEvent> waiting = new ArrayList<>();

    Planner(Plan plan) {
      this.plan = plan;
    }

    /**
     * Handles an event and carries out its effects, later while the planner is busy; drops it if
     * the planner isn't alive.
     */
    void tell(PlanEvent event) {
      if (busy) {
        waiting.add(event);
      } else if (alive) {
        PlanReducer.reduce(plan, event, now()).forEach(this::carryOut);
      }
    }

    /** Makes all events wait for a time, in milliseconds, as behind long decisions. */
    void keepBusy(long forMs) {
      busy = true;
      at(
          forMs,
          () -> {
            busy = false;
            List<PlanEvent> late = List.copyOf(waiting);
            waiting.clear();
            late.forEach(this::tell);
          });
    }

    private void carryOut(PlanEffect effect) {
      if (effect instanceof PlanEffect.Resign) {
        alive = false;
      }
      PlanWorld.this.carryOut(this::tell, effect);
    }
  }

  /**
   * A scheduled action.
   *
   * @param atMs time of the action, in milliseconds of the steady clock
   * @param number order of the actions of one time
   * @param action the action
   */
  private record Due(long atMs, long number, Runnable action) implements Comparable<Due> {

    @Override
    public int compareTo(Due other) {
      return atMs == other.atMs
          ? Long.compare(number, other.number)
          : Long.compare(atMs, other.atMs);
    }
  }

  /** Source of random numbers. */
  final Random random;

  /** Newest record of each key in the store. */
  final Map<String, JobRecord> stored = new LinkedHashMap<>();

  /** Backend servers by their id; a crashed one stays until it restarts or its machine moves. */
  final Map<String, FakeServer> servers = new LinkedHashMap<>();

  /** Answers by the id of the call. */
  final Map<Long, JobAnswer> answers = new HashMap<>();

  /** All effects of the planners in their order. */
  final List<PlanEffect> seen = new ArrayList<>();

  /** Descriptions of the violated invariants. */
  final List<String> broken = new ArrayList<>();

  /** Number of active runs of each task. */
  final Map<TaskKey, Integer> present = new HashMap<>();

  /** Time of the last start of each task, in milliseconds of the steady clock. */
  final Map<TaskKey, Long> lastStart = new HashMap<>();

  /** Tasks whose successful run a planner has acknowledged before its lease expired. */
  final Set<TaskKey> noted = new HashSet<>();

  /** Tasks with a successful run. */
  final Set<TaskKey> done = new HashSet<>();

  /** Whether each wave is completed, as last reported, by the number of the wave. */
  final Map<Integer, Boolean> wavesTold = new HashMap<>();

  /** Availability of the lasting tasks. */
  final Availability availability = new Availability();

  /** Most machines that may be in maintenance at a time. */
  int parallel = 2;

  /** Machines that are switched off. */
  final Set<String> standby = new HashSet<>();

  /** Machines that are being moved to a pool. */
  private final Set<String> onTheWay = new HashSet<>();

  /** Machines whose maintenance was ordered. */
  final Set<String> maintained = new HashSet<>();

  /** Highest fencing token seen for each machine. */
  private final Map<String, Long> machineFences = new HashMap<>();

  /** Orders to move machines. */
  final List<PlanEffect.Move> moves = new ArrayList<>();

  /** Quota of the client account, none by default. */
  Resources quota = Resources.NONE;

  /** Weight of the client account. */
  double weight = 1;

  /** Source of the configuration for each new planner. */
  Supplier<Catalog> catalogs = this::smallCatalog;

  /** Length of a task's run, in milliseconds. */
  ToLongFunction<TaskKey> lengths = task -> this.taskMs;

  /** Resources of a machine that is moved to a pool. */
  Resources machineSize = new Resources(10_000, 1_000_000, 0);

  /**
   * Whether a lease renewal waits for a completion as long as its order allows, instead of 100 ms
   * at most.
   */
  boolean holdsWait;

  /** Additional delay of the store's answers to appends, in milliseconds. */
  long storeMs;

  /** Delay of the answer with the list of machines, in milliseconds. */
  long listMs;

  /** Most moves that the platform accepts in a second, 0 for no limit. */
  int movesPerS;

  /**
   * Times of the moves that were accepted in the last second, in milliseconds of the steady clock.
   */
  private final List<Long> moveTimes = new ArrayList<>();

  /** Share of the answers that is lost, from 0 to 1. */
  double lost;

  /**
   * Share of the orders to backend servers that is carried out seconds after the planner has given
   * up the call, from 0 to 1.
   */
  double late;

  /** Length of a run if {@code lengths} is not replaced, in milliseconds. */
  long taskMs = 300;

  /** Time until a moved machine has a backend server in its next pool, in milliseconds. */
  long moveMs = 1_500;

  /** Whether the store is available. */
  boolean storeUp = true;

  /** Lowest epoch whose appends the store accepts. */
  long fencedBelow;

  /** Sequence number of the last append. */
  long lastSequence = -1;

  /** Newest planner, null if there was none. */
  @Nullable Planner planner;

  /** Scheduled actions. */
  private final PriorityQueue<Due> due = new PriorityQueue<>();

  /** Virtual time, in milliseconds; steady and wall clock agree. */
  private long nowMs = 1_000_000;

  /** Number of scheduled actions and of backend servers on moved machines so far. */
  private long numbers;

  /** Id of the last call. */
  private long tickets;

  /** Creates a simulation without planner and backend servers. */
  PlanWorld(long seed) {
    random = new Random(seed);
    at(0, this::tick);
    at(0, this::beat);
  }

  /** Returns the time. */
  Now now() {
    return new Now(nowMs, nowMs);
  }

  /** Returns the configuration. */
  Catalog catalog() {
    return catalogs.get();
  }

  /** Returns two queues, each with a pool, and two client accounts. */
  private Catalog smallCatalog() {
    Queue queue = new Queue(QUEUE, "h", "/q/", SERVICE, 0, 3, 2, 600, false, false);
    Account account = new Account(ACCOUNT, Set.of("key"), weight, quota);
    Account other = new Account("b", Set.of("other"), 1, Resources.NONE);
    Queue second = new Queue("r", "h", "/r/", OTHER_SERVICE, 0, 3, 2, 600, false, false);
    return Catalog.of(1, List.of(queue, second), List.of(account, other), Set.of(SPARE));
  }

  /** Schedules an action after a delay, in milliseconds. */
  void at(long inMs, Runnable action) {
    due.add(new Due(nowMs + inMs, numbers++, action));
  }

  /** Lets time pass, in milliseconds. */
  void run(long forMs) {
    long until = nowMs + forMs;
    while (!due.isEmpty() && due.peek().atMs() <= until) {
      Due next = due.poll();
      nowMs = Math.max(nowMs, next.atMs());
      next.action().run();
    }
    nowMs = until;
  }

  /** Advances the backend servers and sends a tick to the planner, periodically. */
  private void tick() {
    servers.values().stream().filter(s -> s.up).forEach(s -> s.pass(nowMs));
    tell(new PlanEvent.Tick());
    at(TICK_MS, this::tick);
  }

  /** Reads the list of backend servers periodically. */
  private void beat() {
    tell(serversRead(false));
    at(BEAT_MS, this::beat);
  }

  /** Sends an event to the newest planner; drops it if there was none. */
  void tell(PlanEvent event) {
    Planner current = planner;
    if (current != null) {
      current.tell(event);
    }
  }

  /** Starts a backend server in the pool of the first queue. */
  FakeServer server(String id, long cpu) {
    return server(id, SERVICE, cpu);
  }

  /**
   * Starts a backend server on a machine that is named after it, with a number of thousandths of a
   * core.
   */
  FakeServer server(String id, String service, long cpu) {
    return server(id, service, new Resources(cpu, 1_000_000, 0));
  }

  /** Starts a backend server on a machine that is named after it; replaces one of the same id. */
  FakeServer server(String id, String service, Resources capacity) {
    FakeServer server = new FakeServer(id, "m-" + id, service, capacity, nowMs, this);
    servers.put(id, server);
    return server;
  }

  /** Starts a planner with the next epoch. The store fences the last one, which may be alive. */
  Planner elect() {
    fence(fencedBelow + 1);
    Planner next = new Planner(new Plan(fencedBelow, 1, catalog(), records(), now()));
    planner = next;
    next.tell(serversRead(true));
    return next;
  }

  /**
   * Fences all epochs below the requested one, or below the next if that is higher; returns the
   * lowest epoch whose appends the store accepts.
   */
  long fence(long epoch) {
    fencedBelow = Math.max(fencedBelow + 1, epoch);
    lastSequence = 0;
    return fencedBelow;
  }

  /** Returns the newest record of each key, submissions first. */
  List<JobRecord> records() {
    return Stream.concat(
            stored.values().stream().filter(r -> r instanceof JobRecord.Submitted),
            stored.values().stream().filter(r -> !(r instanceof JobRecord.Submitted)))
        .toList();
  }

  /** Returns the entries of backend servers, the whole list or its changes. */
  PlanEvent serversRead(boolean whole) {
    List<ServerEntry> present =
        servers.values().stream()
            .filter(s -> s.up && s.reachable)
            .map(s -> s.entry(nowMs))
            .toList();
    List<String> gone =
        servers.values().stream().filter(s -> !s.up && s.reachable).map(s -> s.id).toList();
    return new PlanEvent.ServersRead(present, whole ? List.of() : gone, whole);
  }

  /** Sends a call to the newest planner; returns the id of the call. */
  long call(JobCall call) {
    long ticket = ++tickets;
    tell(new PlanEvent.Called(ticket, call));
    return ticket;
  }

  /** Submits a job of some steps to the first queue; returns the id of the call. */
  long submit(String job, StepSpec... steps) {
    return submitAs(ACCOUNT, job, steps);
  }

  /**
   * Submits a job of some steps for a client account to the first queue; returns the id of the
   * call.
   */
  long submitAs(String account, String job, StepSpec... steps) {
    JobSpec spec = new JobSpec("text", List.of(steps), 1, 0, 0);
    return call(new JobCall.Submit(job, QUEUE, account, spec));
  }

  /** Returns a step of short tasks that starts after some other steps. */
  static StepSpec step(int count, long cpu, Integer... after) {
    return spec(count, cpu, 300, List.of(after), 0, false, false);
  }

  /**
   * Returns a step of lasting tasks, one of which may be unavailable; {@code perServer} 0 limits
   * nothing.
   */
  static StepSpec lasting(int count, long cpu, int perServer) {
    return spec(count, cpu, 0, List.of(), perServer, true, false);
  }

  /** Returns a step of lasting tasks, some of which orders may make unavailable at a time. */
  static StepSpec lasting(int count, long cpu, int perServer, int mayMiss) {
    Resources need = new Resources(cpu, 100, 0);
    return new StepSpec(
        count, need, 0, List.of(), false, false, false, "", "", perServer, false, true, "", 0,
        false, mayMiss);
  }

  /** Returns a step of lasting tasks that use only the processors that other tasks leave idle. */
  static StepSpec filling(int count, long cpu) {
    return spec(count, cpu, 0, List.of(), 0, true, true);
  }

  private static StepSpec spec(
      int count,
      long cpu,
      long estimateMs,
      List<Integer> after,
      int perServer,
      boolean lasts,
      boolean fills) {
    Resources need = new Resources(cpu, 100, 0);
    int mayMiss = lasts ? 1 : 0;
    return new StepSpec(
        count,
        need,
        estimateMs,
        after,
        false,
        false,
        false,
        "",
        "",
        perServer,
        false,
        lasts,
        "",
        0,
        fills,
        mayMiss);
  }

  /** Carries out an effect of a planner and reports the results to it. */
  void carryOut(Consumer<PlanEvent> from, PlanEffect effect) {
    seen.add(effect);
    switch (effect) {
      case PlanEffect.Answer answer -> answers.put(answer.ticket(), answer.answer());
      case PlanEffect.Append append -> at(delay(), () -> append(from, append, nowMs));
      case PlanEffect.Start start -> order(from, start);
      case PlanEffect.Stop stop -> order(from, stop);
      case PlanEffect.Hold hold -> order(from, hold);
      case PlanEffect.ListMachines list -> {
        long asked = nowMs;
        at(delay(), () -> listed(from, asked));
      }
      case PlanEffect.Maintain maintain -> at(delay(), () -> maintain(from, maintain));
      case PlanEffect.Move move -> move(from, move);
      case PlanEffect.TellWave told -> wavesTold.put(told.wave(), told.completed());
      default -> {}
    }
  }

  /** Lists the machines and reports the list after its delay. */
  private void listed(Consumer<PlanEvent> from, long askedMs) {
    PlanEvent read = new PlanEvent.MachinesRead(askedMs, machines());
    at(listMs, () -> from.accept(read));
  }

  /** Returns the platform's list of machines. */
  private List<MachineEntry> machines() {
    return Stream.of(
            servers.values().stream().map(s -> new MachineEntry(s.machine, s.service, s.up, s.id)),
            standby.stream().map(name -> new MachineEntry(name, SPARE, true, "")),
            onTheWay.stream().map(name -> new MachineEntry(name, SPARE, false, "")))
        .flatMap(machines -> machines)
        .toList();
  }

  /**
   * Takes an order to move a machine. If its answer is lost, the move can be carried out many
   * seconds later.
   */
  private void move(Consumer<PlanEvent> from, PlanEffect.Move order) {
    moves.add(order);
    if (tooManyMoves()) {
      at(
          delay(),
          () ->
              from.accept(
                  new PlanEvent.Moved(order.machine(), order.service(), MachineResult.NOT_DONE)));
      return;
    }
    boolean answerLost = random.nextDouble() < lost;
    boolean late = answerLost && random.nextBoolean();
    at(late ? 2_000 + random.nextInt(8_000) : delay(), () -> moveNow(order));
    MachineResult result = answerLost ? MachineResult.MAYBE : result(order);
    at(
        answerLost ? 1_500 : 10,
        () -> from.accept(new PlanEvent.Moved(order.machine(), order.service(), result)));
  }

  /** Counts a move; tells whether it exceeds the limit of a second. */
  private boolean tooManyMoves() {
    moveTimes.removeIf(at -> at <= nowMs - 1_000);
    if (movesPerS > 0 && moveTimes.size() >= movesPerS) {
      return true;
    }
    moveTimes.add(nowMs);
    return false;
  }

  /** Returns the result of an order to move a machine and records its fencing token. */
  private MachineResult result(PlanEffect.Move order) {
    if (order.fencingToken() < machineFences.getOrDefault(order.machine(), 0L)) {
      return MachineResult.FENCED;
    }
    machineFences.put(order.machine(), order.fencingToken());
    boolean down =
        servers.values().stream().anyMatch(s -> s.machine.equals(order.machine()) && !s.up);
    return down ? MachineResult.BUSY : MachineResult.BEGUN;
  }

  /**
   * Carries out an order to move a machine, unless it is fenced or the machine is in the pool
   * already.
   */
  private void moveNow(PlanEffect.Move order) {
    if (result(order) != MachineResult.BEGUN) {
      return;
    }
    Optional<FakeServer> on =
        servers.values().stream().filter(s -> s.machine.equals(order.machine())).findFirst();
    if (on.isPresent() && on.get().service.equals(order.service())) {
      return;
    }
    on.ifPresent(this::takeDown);
    if (order.service().equals(SPARE)) {
      standby.add(order.machine());
    } else if (standby.remove(order.machine()) || on.isPresent()) {
      onTheWay.add(order.machine());
      at(moveMs, () -> bringUp(order));
    }
  }

  /** Returns the number of machines in service or being moved to a pool. */
  long machinesInUse() {
    return servers.values().stream().filter(s -> s.up).count() + onTheWay.size();
  }

  /**
   * Removes the backend server of a machine that is moved; ending a run by it violates an
   * invariant.
   */
  private void takeDown(FakeServer server) {
    server.running.keySet().forEach(t -> broken.add("a move ends " + t));
    server.crash();
    servers.remove(server.id);
  }

  /** Starts a backend server on a moved machine. */
  private void bringUp(PlanEffect.Move order) {
    onTheWay.remove(order.machine());
    String id = "n" + ++numbers;
    servers.put(id, new FakeServer(id, order.machine(), order.service(), machineSize, nowMs, this));
  }

  /**
   * Carries out an order to maintain a machine; exceeding the limit of machines in maintenance
   * violates an invariant.
   */
  private void maintain(Consumer<PlanEvent> from, PlanEffect.Maintain order) {
    maintained.add(order.machine());
    long down = servers.values().stream().filter(s -> !s.up).count();
    if (down >= parallel) {
      broken.add(order.machine() + " is maintained while " + down + " others are down");
    }
    servers.values().stream()
        .filter(s -> s.machine.equals(order.machine()))
        .findFirst()
        .ifPresent(this::restart);
    at(
        delay(),
        () ->
            from.accept(
                new PlanEvent.Maintained(order.wave(), order.machine(), MachineResult.BEGUN)));
  }

  /**
   * Restarts the backend server of a machine in maintenance; ending a run by it violates an
   * invariant.
   */
  private void restart(FakeServer server) {
    server.running.keySet().forEach(t -> broken.add("maintenance ends " + t));
    server.crash();
    at(2_000, () -> startAgain(server));
  }

  /**
   * Starts a backend server again under the id of one that has ended, on its machine and in its
   * pool.
   */
  FakeServer startAgain(FakeServer old) {
    FakeServer fresh = new FakeServer(old.id, old.machine, old.service, old.capacity, nowMs, this);
    servers.put(old.id, fresh);
    return fresh;
  }

  /**
   * Returns a random network delay, in milliseconds. Several events can fall into one millisecond,
   * as on a fast network.
   */
  private long delay() {
    return random.nextInt(5);
  }

  /** Carries out an append and reports the result, or a timeout if the answer is lost. */
  private void append(Consumer<PlanEvent> from, PlanEffect.Append append, long sentMs) {
    StoreResult verdict = storeUp ? store(append) : StoreResult.NOT_DONE;
    boolean answerLost = verdict == StoreResult.DONE && random.nextDouble() < lost;
    at(
        answerLost ? 1_000 : delay() + storeMs,
        () ->
            from.accept(
                new PlanEvent.Appended(
                    append.sequence(), sentMs, answerLost ? StoreResult.MAYBE : verdict)));
  }

  /**
   * Stores the records of an append. An append with the sequence number of the last one is stored
   * once.
   */
  private StoreResult store(PlanEffect.Append append) {
    if (append.epoch() < fencedBelow) {
      return StoreResult.FENCED;
    }
    if (append.records().isEmpty() || append.sequence() == lastSequence) {
      return StoreResult.DONE;
    }
    lastSequence = append.sequence();
    append.records().forEach(this::store);
    return StoreResult.DONE;
  }

  /** Stores a record under its key, and removes the records that it replaces. */
  private void store(JobRecord record) {
    switch (record) {
      case JobRecord.Submitted s -> stored.put("s/" + s.job(), s);
      case JobRecord.Progress p -> stored.put("p/" + p.job(), p);
      case JobRecord.Closed c -> {
        stored.remove("s/" + c.job());
        stored.put("p/" + c.job(), c);
      }
      case JobRecord.Forgotten f -> stored.remove("p/" + f.job());
      case JobRecord.WaveProgress w -> stored.put("w/" + w.wave(), w);
      case JobRecord.OpenMoves m -> stored.put("moves", m);
    }
  }

  /**
   * Sends an order to a backend server. A late one arrives after the planner has given up the call.
   */
  private void order(Consumer<PlanEvent> from, PlanEffect effect) {
    boolean isLate = random.nextDouble() < late;
    long arrives = isLate ? 2_000 + random.nextInt(6_000) : delay();
    boolean answerLost = isLate || random.nextDouble() < lost;
    long sentMs = nowMs;
    at(arrives, () -> arrive(from, effect, isLate, answerLost, sentMs));
    if (isLate) {
      at(700, () -> from.accept(answer(effect, new OrderResult.Unanswered(), nowMs - 700)));
    }
  }

  /**
   * Delivers an order to a backend server.
   *
   * @param from receiver of the result
   * @param effect the order
   * @param isLate whether the planner has given up the call
   * @param answerLost whether the answer is lost
   * @param sentMs time of sending, in milliseconds of the steady clock
   */
  private void arrive(
      Consumer<PlanEvent> from,
      PlanEffect effect,
      boolean isLate,
      boolean answerLost,
      long sentMs) {
    FakeServer server = servers.get(serverOf(effect));
    OrderResult none = new OrderResult.Unanswered();
    if (server == null || !server.reachable || isLost(server, effect, isLate)) {
      at(700, () -> from.accept(answer(effect, none, sentMs)));
    } else if (!server.up) {
      at(delay(), () -> from.accept(answer(effect, new OrderResult.ConnectionRefused(), sentMs)));
    } else {
      server.pass(nowMs);
      PlanEvent result = obey(server, effect, sentMs);
      boolean waits =
          effect instanceof PlanEffect.Hold hold && hold.waitMs() > 0 && server.ended.isEmpty();
      if (waits && !answerLost && holdsWait) {
        awaitEnd(from, server, (PlanEffect.Hold) effect, sentMs, nowMs);
        return;
      }
      if (answerLost || (server.mute && effect instanceof PlanEffect.Start)) {
        at(700, () -> from.accept(answer(effect, none, sentMs)));
      } else if (waits) {
        at(100 + lateMs(server, effect), () -> from.accept(obeyAgain(server, effect, sentMs)));
      } else {
        at(delay() + lateMs(server, effect), () -> from.accept(result));
      }
    }
  }

  /** Answers a lease renewal once a run has finished, or when its wait is over. */
  private void awaitEnd(
      Consumer<PlanEvent> from,
      FakeServer server,
      PlanEffect.Hold hold,
      long sentMs,
      long arrivedMs) {
    if (server.up && server.ended.isEmpty() && nowMs < arrivedMs + hold.waitMs()) {
      at(TICK_MS, () -> awaitEnd(from, server, hold, sentMs, arrivedMs));
    } else if (server.up && server.reachable) {
      PlanEvent result = obey(server, hold, sentMs);
      at(delay(), () -> from.accept(result));
    } else {
      long after =
          server.reachable ? delay() : Math.max(0, arrivedMs + hold.waitMs() + 700 - nowMs);
      OrderResult broken = new OrderResult.Unanswered();
      at(after, () -> from.accept(answer(hold, broken, sentMs)));
    }
  }

  /**
   * Returns the additional delay of an answer, in milliseconds; only those to lease renewals have
   * one.
   */
  private static long lateMs(FakeServer server, PlanEffect effect) {
    return effect instanceof PlanEffect.Hold ? server.listsLateMs : 0;
  }

  /**
   * Tells whether an order doesn't reach the present incarnation of a backend server. Starts and
   * stops that are under way reach a later incarnation under the same id. Orders that are carried
   * out seconds late and lease renewals don't: the later incarnation knows of no earlier run, so it
   * would repeat a finished run or drop completions that no planner has seen, and no planner could
   * prevent that.
   */
  private static boolean isLost(FakeServer server, PlanEffect effect, boolean isLate) {
    return server.bornMs > bornOf(effect) && (isLate || effect instanceof PlanEffect.Hold);
  }

  /** Returns the start time of the incarnation that an order is for, in milliseconds. */
  private static long bornOf(PlanEffect effect) {
    return switch (effect) {
      case PlanEffect.Start start -> start.server().startTimeMs();
      case PlanEffect.Stop stop -> stop.server().startTimeMs();
      case PlanEffect.Hold hold -> hold.server().startTimeMs();
      default -> 0;
    };
  }

  /**
   * Carries out a lease renewal once more after its wait, unless the backend server can't answer
   * any more.
   */
  private PlanEvent obeyAgain(FakeServer server, PlanEffect effect, long sentMs) {
    server.pass(nowMs);
    return server.up && server.reachable
        ? obey(server, effect, sentMs)
        : answer(effect, new OrderResult.Unanswered(), sentMs);
  }

  /** Returns the id of the backend server that an order is for. */
  private static String serverOf(PlanEffect effect) {
    return switch (effect) {
      case PlanEffect.Start start -> start.server().id();
      case PlanEffect.Stop stop -> stop.server().id();
      case PlanEffect.Hold hold -> hold.server().id();
      default -> "";
    };
  }

  /** Carries out an order on a backend server; returns the event with its result. */
  private PlanEvent obey(FakeServer server, PlanEffect effect, long sentMs) {
    return switch (effect) {
      case PlanEffect.Start start ->
          answer(
              start,
              server.start(start, specOf(start.task()), lengthOf(start.task()), nowMs),
              sentMs);
      case PlanEffect.Stop stop -> answer(stop, server.stop(stop, nowMs), sentMs);
      case PlanEffect.Hold hold ->
          new PlanEvent.Held(
              server.id,
              hold.server().startTimeMs(),
              hold.acknowledgedCompletion(),
              sentMs,
              server.hold(hold, nowMs));
      default -> new PlanEvent.Tick();
    };
  }

  /** Returns the event that reports a result of an order to its planner. */
  static PlanEvent answer(PlanEffect effect, OrderResult result, long sentMs) {
    return switch (effect) {
      case PlanEffect.Start s ->
          new PlanEvent.Started(
              s.server().id(), s.server().startTimeMs(), s.task(), s.run(), result);
      case PlanEffect.Stop s ->
          new PlanEvent.Stopped(
              s.server().id(), s.server().startTimeMs(), s.task(), s.run(), result);
      case PlanEffect.Hold h ->
          new PlanEvent.Held(
              h.server().id(),
              h.server().startTimeMs(),
              h.acknowledgedCompletion(),
              sentMs,
              new LeaseRenewalResult.Failed(result));
      default -> new PlanEvent.Tick();
    };
  }

  /** Specifications of jobs, also of those that the store has removed. */
  private final Map<String, JobSpec> specs = new HashMap<>();

  /** Returns the length of a task's run, in milliseconds. */
  private long lengthOf(TaskKey task) {
    return lengths.applyAsLong(task);
  }

  /** Returns the specification of a task's job. */
  private JobSpec jobOf(TaskKey task) {
    return specs.computeIfAbsent(
        task.job(),
        id -> ((JobRecord.Submitted) Objects.requireNonNull(stored.get("s/" + id))).spec());
  }

  /** Returns the step of a task. */
  StepSpec specOf(TaskKey task) {
    return jobOf(task).steps().get(task.step());
  }

  /**
   * Returns the backend server with an id.
   *
   * @throws NullPointerException if there is none
   */
  FakeServer get(String id) {
    return Objects.requireNonNull(servers.get(id));
  }

  @Override
  public void started(FakeServer server, TaskKey task, long run, long atMs) {
    if (present.merge(task, 1, Integer::sum) > 1) {
      broken.add("two runs of " + task + " at " + atMs);
    }
    lastStart.put(task, atMs);
    availability.started(task, atMs);
    if (noted.contains(task)) {
      broken.add("a start of " + task + " after its completion was acknowledged at " + atMs);
    }
    for (int before : specOf(task).after()) {
      int count = jobOf(task).steps().get(before).count();
      for (int i = 0; i < count; i++) {
        if (!done.contains(new TaskKey(task.job(), task.occurrence(), before, i))) {
          broken.add("a start of " + task + " before step " + before + " is done");
        }
      }
    }
    checkQuota(atMs);
    long used = server.running.keySet().stream().mapToLong(t -> specOf(t).reserved().cpu()).sum();
    if (used > server.capacity.cpu()) {
      broken.add("capacity exceeded: " + used + " on " + server.id);
    }
  }

  /** Tells whether a job is stored as ended. */
  private boolean cancelled(String job) {
    return stored.get("p/" + job) instanceof JobRecord.Closed
        || (stored.get("p/" + job) instanceof JobRecord.Progress p && p.phase().ended());
  }

  /** Checks that the active runs don't exceed the quota of processors. */
  private void checkQuota(long atMs) {
    if (quota.cpu() == 0) {
      return;
    }
    long cpu =
        servers.values().stream()
            .flatMap(s -> s.running.keySet().stream())
            .mapToLong(t -> specOf(t).need().cpu())
            .sum();
    if (cpu > quota.cpu()) {
      broken.add("quota exceeded: " + cpu + " at " + atMs);
    }
  }

  @Override
  public void over(FakeServer server, TaskKey task, long run, FinishedRun.Outcome how) {
    present.merge(task, -1, Integer::sum);
    StepSpec step = specOf(task);
    if (step.lasting() && !cancelled(task.job())) {
      availability.over(task, step, how, nowMs).ifPresent(broken::add);
    }
    if (how == FinishedRun.Outcome.DONE) {
      done.add(task);
    }
  }

  @Override
  public void noted(FinishedRun end, long endedMs, boolean lapsed) {
    if (end.how() != FinishedRun.Outcome.DONE || lapsed) {
      return;
    }
    noted.add(end.task());
    if (lastStart.getOrDefault(end.task(), 0L) > endedMs) {
      broken.add("a start of " + end.task() + " after its completion at " + endedMs);
    }
  }
}
