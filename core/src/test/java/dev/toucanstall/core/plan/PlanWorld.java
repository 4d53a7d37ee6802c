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
 * Planners, the store and backend servers in virtual time: every call can be lost, late or refused.
 * Checks the promises about runs as they happen.
 */
final class PlanWorld implements FakeServer.Observer {

  static final String SERVICE = "s";
  static final String OTHER_SERVICE = "t";
  static final String QUEUE = "q";
  static final String ACCOUNT = "a";
  static final String SPARE = "spare";

  private static final long TICK_MS = 20;
  private static final long BEAT_MS = 500;

  /** A planner during one term. */
  final class Planner {

    final Plan plan;
    boolean alive = true;
    private boolean busy;
    private final List<PlanEvent> waiting = new ArrayList<>();

    Planner(Plan plan) {
      this.plan = plan;
    }

    void tell(PlanEvent event) {
      if (busy) {
        waiting.add(event);
      } else if (alive) {
        PlanReducer.reduce(plan, event, now()).forEach(this::carryOut);
      }
    }

    /** Lets all events wait for a time, as behind long decisions. */
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

  private record Due(long atMs, long number, Runnable action) implements Comparable<Due> {

    @Override
    public int compareTo(Due other) {
      return atMs == other.atMs
          ? Long.compare(number, other.number)
          : Long.compare(atMs, other.atMs);
    }
  }

  final Random random;
  final Map<String, JobRecord> stored = new LinkedHashMap<>();
  final Map<String, FakeServer> servers = new LinkedHashMap<>();
  final Map<Long, JobAnswer> answers = new HashMap<>();
  final List<PlanEffect> seen = new ArrayList<>();
  final List<String> broken = new ArrayList<>();
  final Map<TaskKey, Integer> present = new HashMap<>();
  final Map<TaskKey, Long> lastStart = new HashMap<>();
  final Set<TaskKey> noted = new HashSet<>();
  final Set<TaskKey> done = new HashSet<>();
  final Map<Integer, Boolean> wavesTold = new HashMap<>();
  final Availability availability = new Availability();
  int parallel = 2;
  final Set<String> standby = new HashSet<>();
  private final Set<String> onTheWay = new HashSet<>();
  final Set<String> maintained = new HashSet<>();
  private final Map<String, Long> machineFences = new HashMap<>();
  final List<PlanEffect.Move> moves = new ArrayList<>();
  Resources quota = Resources.NONE;
  double weight = 1;
  Supplier<Catalog> catalogs = this::smallCatalog;
  ToLongFunction<TaskKey> lengths = task -> this.taskMs;

  /** What a machine that joins a pool has for tasks. */
  Resources machineSize = new Resources(10_000, 1_000_000, 0);

  /** Whether a call that renews a lease waits for an end as long as it may, or 100 ms at most. */
  boolean holdsWait;

  /** How long the store's answers to appends are under way beyond the usual, in milliseconds. */
  long storeMs;

  /** How long an answer with the list of machines is under way, in milliseconds. */
  long listMs;

  /** Most moves that the platform takes in a second, 0 for any number. */
  int movesPerS;

  private final List<Long> moveTimes = new ArrayList<>();
  double lost;
  double late;
  long taskMs = 300;

  /** How long a machine takes to its next pool, in milliseconds. */
  long moveMs = 1_500;

  boolean storeUp = true;
  long fencedBelow;
  long lastSequence = -1;
  @Nullable Planner planner;
  private final PriorityQueue<Due> due = new PriorityQueue<>();
  private long nowMs = 1_000_000;
  private long numbers;
  private long tickets;

  PlanWorld(long seed) {
    random = new Random(seed);
    at(0, this::tick);
    at(0, this::beat);
  }

  Now now() {
    return new Now(nowMs, nowMs);
  }

  Catalog catalog() {
    return catalogs.get();
  }

  private Catalog smallCatalog() {
    Queue queue = new Queue(QUEUE, "h", "/q/", SERVICE, 0, 3, 2, 600, false, false);
    Account account = new Account(ACCOUNT, Set.of("key"), weight, quota);
    Account other = new Account("b", Set.of("other"), 1, Resources.NONE);
    Queue second = new Queue("r", "h", "/r/", OTHER_SERVICE, 0, 3, 2, 600, false, false);
    return Catalog.of(1, List.of(queue, second), List.of(account, other), Set.of(SPARE));
  }

  void at(long inMs, Runnable action) {
    due.add(new Due(nowMs + inMs, numbers++, action));
  }

  void run(long forMs) {
    long until = nowMs + forMs;
    while (!due.isEmpty() && due.peek().atMs() <= until) {
      Due next = due.poll();
      nowMs = Math.max(nowMs, next.atMs());
      next.action().run();
    }
    nowMs = until;
  }

  private void tick() {
    servers.values().stream().filter(s -> s.up).forEach(s -> s.pass(nowMs));
    tell(new PlanEvent.Tick());
    at(TICK_MS, this::tick);
  }

  private void beat() {
    tell(serversRead(false));
    at(BEAT_MS, this::beat);
  }

  void tell(PlanEvent event) {
    Planner current = planner;
    if (current != null) {
      current.tell(event);
    }
  }

  FakeServer server(String id, long cpu) {
    return server(id, SERVICE, cpu);
  }

  /** Each backend server begins on a machine named after it. */
  FakeServer server(String id, String service, long cpu) {
    return server(id, service, new Resources(cpu, 1_000_000, 0));
  }

  FakeServer server(String id, String service, Resources capacity) {
    FakeServer server = new FakeServer(id, "m-" + id, service, capacity, nowMs, this);
    servers.put(id, server);
    return server;
  }

  /**
   * A new planner takes over with the next epoch; the old one, if alive, is fenced at the store.
   */
  Planner elect() {
    fence(fencedBelow + 1);
    Planner next = new Planner(new Plan(fencedBelow, 1, catalog(), records(), now()));
    planner = next;
    next.tell(serversRead(true));
    return next;
  }

  /** Lets the store take appends of no epoch before one that is at least as high as asked. */
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

  /** Returns what the store lists of backend servers. */
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

  long call(JobCall call) {
    long ticket = ++tickets;
    tell(new PlanEvent.Called(ticket, call));
    return ticket;
  }

  long submit(String job, StepSpec... steps) {
    return submitAs(ACCOUNT, job, steps);
  }

  long submitAs(String account, String job, StepSpec... steps) {
    JobSpec spec = new JobSpec("text", List.of(steps), 1, 0, 0);
    return call(new JobCall.Submit(job, QUEUE, account, spec));
  }

  static StepSpec step(int count, long cpu, Integer... after) {
    return spec(count, cpu, 300, List.of(after), 0, false, false);
  }

  static StepSpec lasting(int count, long cpu, int perServer) {
    return spec(count, cpu, 0, List.of(), perServer, true, false);
  }

  /** Lasting tasks of which some may be away by orders at a time. */
  static StepSpec lasting(int count, long cpu, int perServer, int mayMiss) {
    Resources need = new Resources(cpu, 100, 0);
    return new StepSpec(
        count, need, 0, List.of(), false, false, false, "", "", perServer, false, true, "", 0,
        false, mayMiss);
  }

  /** Lasting tasks that use only the processors that others leave idle. */
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

  /** Carries out what a planner wants; it is told what becomes of it. */
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

  private void listed(Consumer<PlanEvent> from, long askedMs) {
    PlanEvent read = new PlanEvent.MachinesRead(askedMs, machines());
    at(listMs, () -> from.accept(read));
  }

  private List<MachineEntry> machines() {
    return Stream.of(
            servers.values().stream().map(s -> new MachineEntry(s.machine, s.service, s.up, s.id)),
            standby.stream().map(name -> new MachineEntry(name, SPARE, true, "")),
            onTheWay.stream().map(name -> new MachineEntry(name, SPARE, false, "")))
        .flatMap(machines -> machines)
        .toList();
  }

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

  private boolean tooManyMoves() {
    moveTimes.removeIf(at -> at <= nowMs - 1_000);
    if (movesPerS > 0 && moveTimes.size() >= movesPerS) {
      return true;
    }
    moveTimes.add(nowMs);
    return false;
  }

  private MachineResult result(PlanEffect.Move order) {
    if (order.fencingToken() < machineFences.getOrDefault(order.machine(), 0L)) {
      return MachineResult.FENCED;
    }
    machineFences.put(order.machine(), order.fencingToken());
    boolean down =
        servers.values().stream().anyMatch(s -> s.machine.equals(order.machine()) && !s.up);
    return down ? MachineResult.BUSY : MachineResult.BEGUN;
  }

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

  /** Counts the machines that are in service or on their way to a pool. */
  long machinesInUse() {
    return servers.values().stream().filter(s -> s.up).count() + onTheWay.size();
  }

  private void takeDown(FakeServer server) {
    server.running.keySet().forEach(t -> broken.add("a move ends " + t));
    server.crash();
    servers.remove(server.id);
  }

  private void bringUp(PlanEffect.Move order) {
    onTheWay.remove(order.machine());
    String id = "n" + ++numbers;
    servers.put(id, new FakeServer(id, order.machine(), order.service(), machineSize, nowMs, this));
  }

  private void maintain(Consumer<PlanEvent> from, PlanEffect.Maintain order) {
    maintained.add(order.machine());
    long down = servers.values().stream().filter(s -> !s.up).count();
    if (down >= parallel) {
      broken.add(order.machine() + " is maintained beside " + down + " others");
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

  private void restart(FakeServer server) {
    server.running.keySet().forEach(t -> broken.add("maintenance ends " + t));
    server.crash();
    at(2_000, () -> startAgain(server));
  }

  /** Starts a backend server on the machine and in the pool of one that is gone. */
  FakeServer startAgain(FakeServer old) {
    FakeServer fresh = new FakeServer(old.id, old.machine, old.service, old.capacity, nowMs, this);
    servers.put(old.id, fresh);
    return fresh;
  }

  /** Several events may fall into one millisecond, as on a fast network. */
  private long delay() {
    return random.nextInt(5);
  }

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

  /** Answers a call that renews a lease once a run has ended, or when its time is up. */
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

  private static long lateMs(FakeServer server, PlanEffect effect) {
    return effect instanceof PlanEffect.Hold ? server.listsLateMs : 0;
  }

  /**
   * Starts and stops that are under way reach a later life under the same id. Neither do those that
   * are carried out seconds late, nor renewals: that life knows of no run, so it would repeat a run
   * that has ended, or forget ends that nobody has seen, and no planner could prevent it.
   */
  private static boolean isLost(FakeServer server, PlanEffect effect, boolean isLate) {
    return server.bornMs > bornOf(effect) && (isLate || effect instanceof PlanEffect.Hold);
  }

  private static long bornOf(PlanEffect effect) {
    return switch (effect) {
      case PlanEffect.Start start -> start.server().startTimeMs();
      case PlanEffect.Stop stop -> stop.server().startTimeMs();
      case PlanEffect.Hold hold -> hold.server().startTimeMs();
      default -> 0;
    };
  }

  private PlanEvent obeyAgain(FakeServer server, PlanEffect effect, long sentMs) {
    server.pass(nowMs);
    return server.up && server.reachable
        ? obey(server, effect, sentMs)
        : answer(effect, new OrderResult.Unanswered(), sentMs);
  }

  private static String serverOf(PlanEffect effect) {
    return switch (effect) {
      case PlanEffect.Start start -> start.server().id();
      case PlanEffect.Stop stop -> stop.server().id();
      case PlanEffect.Hold hold -> hold.server().id();
      default -> "";
    };
  }

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

  private final Map<String, JobSpec> specs = new HashMap<>();

  private long lengthOf(TaskKey task) {
    return lengths.applyAsLong(task);
  }

  private JobSpec jobOf(TaskKey task) {
    return specs.computeIfAbsent(
        task.job(),
        id -> ((JobRecord.Submitted) Objects.requireNonNull(stored.get("s/" + id))).spec());
  }

  StepSpec specOf(TaskKey task) {
    return jobOf(task).steps().get(task.step());
  }

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
      broken.add("a start of " + task + " after its end was noted at " + atMs);
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

  private boolean cancelled(String job) {
    return stored.get("p/" + job) instanceof JobRecord.Closed
        || (stored.get("p/" + job) instanceof JobRecord.Progress p && p.phase().ended());
  }

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
      broken.add("a start of " + end.task() + " after its end at " + endedMs);
    }
  }
}
