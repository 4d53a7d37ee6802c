package dev.toucanstall.testbed.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/** State of the soak's stand-ins; changed in place by the control thread that owns it. */
final class SoakState {

  final Random random;
  final StoreState store;
  final List<ServerState> servers = new ArrayList<>();
  final Map<String, List<Run>> runsByTask = new LinkedHashMap<>();
  final Map<String, JobProgress> jobs = new LinkedHashMap<>();

  /** Number of cuts that hold for each link, by entry instance and target. */
  final Map<List<Integer>, List<LinkMode>> cuts = new HashMap<>();

  /** Time until which an entry instance is away or has just come back, and no target. */
  final long[] awayUntil;

  /** Entry instance that gave the last order under the highest fencing token; -1 for none. */
  int planner = -1;

  long plannerFence = -1;
  int lastServerId = 0x7f3a91c0;

  /** Whether an order that was held up may reach a later incarnation under the same id. */
  final boolean lateOrdersReachNextIncarnation;

  SoakState(
      long seed, int entries, int servers, int proxyPort, boolean lateOrdersReachNextIncarnation) {
    random = new Random(seed);
    this.lateOrdersReachNextIncarnation = lateOrdersReachNextIncarnation;
    awayUntil = new long[entries];
    store = new StoreState(entries);
    for (int i = 0; i < servers; i++) {
      this.servers.add(
          new ServerState(i, i % 2 == 0 ? "alpha" : "beta", "w%d.soak:%d".formatted(i, proxyPort)));
    }
  }

  /** Progress of a job at the backend servers and at its client. */
  static final class JobProgress {
    final SoakJob job;
    final List<Integer> answers = new ArrayList<>();
    final Set<String> doneTasks = new HashSet<>();
    int starts;
    boolean accepted;
    boolean shownCompleted;

    JobProgress(SoakJob job) {
      this.job = job;
    }
  }

  /** A run that a backend server has started. Times are in milliseconds since the soak began. */
  static final class Run {
    final String task;
    final long number;
    final String server;
    final int serverIndex;
    final int starter;
    final long fence;
    final boolean late;
    final long startAt;
    final long endClockMs;
    final int cpu;
    final boolean lasting;
    long endAt = -1;
    long endServerClockMs;
    long completion;
    String how = "";
    long notedAt = -1;

    Run(
        String task,
        long number,
        ServerState server,
        SoakEvent.Order order,
        long endClockMs,
        int cpu,
        boolean lasting) {
      this.task = task;
      this.number = number;
      this.server = server.id + "/" + server.born;
      this.serverIndex = server.index;
      this.starter = order.entry();
      this.fence = order.body().path("fencingToken").asLong();
      this.late = order.late();
      this.startAt = order.at();
      this.endClockMs = endClockMs;
      this.cpu = cpu;
      this.lasting = lasting;
    }

    @Override
    public String toString() {
      return "%s run %d on w%d %s from entry-%d fence %d late %s start %.3f end %s %s noted %s"
          .formatted(
              task,
              number,
              serverIndex,
              server,
              starter,
              fence,
              late,
              startAt / 1e3,
              endAt < 0 ? "-" : "%.3f".formatted(endAt / 1e3),
              how.isEmpty() ? "running" : how,
              notedAt < 0 ? "-" : "%.3f".formatted(notedAt / 1e3));
    }
  }

  /** One place of a backend server with its present incarnation. */
  static final class ServerState {
    final int index;
    final String service;
    final String address;
    String id = "";
    long born;
    boolean up;
    long startedAt;
    double clockRate = 1;
    long fence;
    long deadlineMs;
    long lastLapseMs = Long.MIN_VALUE;
    long lastCompletion;
    long sequence;
    long nextReportAt;
    long cutFromStoreUntil;
    long holdOrdersUntil;
    long holdOrdersMs;
    final Map<String, Run> running = new LinkedHashMap<>();
    final Map<String, Long> highestRuns = new HashMap<>();
    final List<Run> ends = new ArrayList<>();
    final List<WaitingHold> waiting = new ArrayList<>();

    ServerState(int index, String service, String address) {
      this.index = index;
      this.service = service;
      this.address = address;
    }

    /** Returns the server's own clock, which starts near 0 and may be slow, in milliseconds. */
    long clock(long at) {
      return 1_000 + (long) ((at - startedAt) * clockRate);
    }
  }

  /** A query for lists that waits for an end, until a time on the server's clock. */
  record WaitingHold(long handle, long untilClockMs) {}

  /** State of the store. */
  static final class StoreState {
    final Map<String, Topic> topics = new HashMap<>();
    final List<WaitingRead> reads = new ArrayList<>();
    final Map<String, Long> members = new LinkedHashMap<>();
    final long[] refusedUntil;
    final Fault.Refusal[] refusals;
    String holder = "";
    long generation = 1;

    StoreState(int entries) {
      refusedUntil = new long[entries];
      refusals = new Fault.Refusal[entries];
    }

    Topic topic(String name) {
      return topics.computeIfAbsent(name, key -> new Topic());
    }
  }

  /** A read that waits for a record until a time. */
  record WaitingRead(long handle, String topic, int from, long until) {}

  /** A topic with one partition. */
  static final class Topic {
    final List<byte[]> records = new ArrayList<>();
    final TreeMap<String, Integer> newest = new TreeMap<>();
    final Map<String, Producer> producers = new HashMap<>();
  }

  /** What the store knows of a producer; -1 for none yet. */
  static final class Producer {
    long epoch = -1;
    long sequence = -1;
    final TreeMap<Long, byte[]> lastReplies = new TreeMap<>();
  }

  @Nullable JobProgress jobOf(String task) {
    return jobs.get(task.substring(0, task.indexOf('.')));
  }
}
