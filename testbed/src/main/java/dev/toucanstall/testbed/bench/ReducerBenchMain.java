package dev.toucanstall.testbed.bench;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.sun.management.ThreadMXBean;
import dev.toucanstall.core.effect.Effect;
import dev.toucanstall.core.event.Arrival;
import dev.toucanstall.core.event.AttemptResult;
import dev.toucanstall.core.event.Event;
import dev.toucanstall.core.model.Urgency;
import dev.toucanstall.core.reduce.Reducer;
import dev.toucanstall.core.reduce.Transition;
import dev.toucanstall.core.state.State;
import dev.toucanstall.wire.peer.PeerCodec;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;

/** Benchmarks the reducer alone: time and allocation of each event, and the heap of the state. */
public final class ReducerBenchMain {

  private static final int ROUNDS = 5;
  private static final int TICKS = 200;
  private static final int HEAP_COPIES = 4;

  @Parameter(names = "--workers", description = "Instances of the fleet")
  private int workers = DesignSize.TARGET.workers();

  @Parameter(names = "--pools", description = "Pools")
  private int pools = DesignSize.TARGET.pools();

  @Parameter(names = "--teams", description = "Teams")
  private int teams = DesignSize.TARGET.teams();

  @Parameter(names = "--members", description = "Entry instances")
  private int members = DesignSize.TARGET.members();

  @Parameter(names = "--requests", description = "Requests in each round")
  private int requests = 200_000;

  @Parameter(names = "--seed", description = "The seed of services and teams")
  private long seed = 1;

  @Parameter(names = "--out", description = "The result file")
  private String out = "";

  private final ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
  private final TreeMap<String, Double> values = new TreeMap<>();

  private ReducerBenchMain() {}

  /**
   * Runs the benchmark.
   *
   * @param args command-line options
   */
  public static void main(String[] args) {
    ReducerBenchMain main = new ReducerBenchMain();
    JCommander.newBuilder().addObject(main).build().parse(args);
    main.run(String.join(" ", args));
  }

  private void run(String command) {
    DesignSize size = new DesignSize(workers, pools, teams, members);
    State state = size.state();
    values.put("state.heap.bytes", (double) heapOf(size));
    for (int round = 0; round < ROUNDS; round++) {
      requests(state, round);
    }
    heartbeats(size, state);
    ticks(state);
    values.forEach((name, value) -> System.out.printf("%-36s %.1f%n", name, value));
    if (!out.isEmpty()) {
      new ResultFile("reducer", command, seed, values).write(out);
    }
  }

  /** Returns the heap of one state in bytes, the mean over several that share no objects. */
  private static long heapOf(DesignSize size) {
    List<State> retained = new ArrayList<>();
    retained.add(size.state());
    long before = usedHeap();
    for (int i = 0; i < HEAP_COPIES; i++) {
      retained.add(size.state());
    }
    long after = usedHeap();
    return (after - before) / (retained.size() - 1);
  }

  private static long usedHeap() {
    for (int i = 0; i < 3; i++) {
      System.gc();
    }
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }

  /** Measures requests, each of two events: the arrival, and the end of the attempt. */
  private void requests(State start, int round) {
    SplittableRandom random = new SplittableRandom(seed + round);
    State state = start;
    long started = 0;
    long allocatedBefore = threads.getCurrentThreadAllocatedBytes();
    long startedAt = System.nanoTime();
    for (int i = 1; i <= requests; i++) {
      Arrival arrival =
          new Arrival(
              DesignSize.key(random.nextInt(teams)),
              "s" + random.nextInt(pools),
              null,
              true,
              true,
              Urgency.URGENT,
              DesignSize.NOW + 30_000_000_000L);
      Transition arrived =
          Reducer.reduce(state, new Event.RequestArrived(DesignSize.NOW, i, arrival));
      state = arrived.state();
      for (Effect effect : arrived.effects()) {
        if (effect instanceof Effect.StartAttempt attempt) {
          started++;
          state =
              Reducer.reduce(
                      state,
                      new Event.AttemptEnded(
                          DesignSize.NOW,
                          i,
                          attempt.instance(),
                          new AttemptResult.Answered(200, true)))
                  .state();
        }
      }
    }
    long elapsedNanos = System.nanoTime() - startedAt;
    long bytes = threads.getCurrentThreadAllocatedBytes() - allocatedBefore;
    values.put("request.event.ns", elapsedNanos / (2.0 * requests));
    values.put("request.event.allocated.bytes", bytes / (2.0 * requests));
    values.put("request.started.share", started / (double) requests);
  }

  private void heartbeats(DesignSize size, State start) {
    State state = start;
    long appliedOffset = state.appliedState().offset();
    for (int round = 0; round < ROUNDS; round++) {
      long startedAt = System.nanoTime();
      for (int i = 0; i < TICKS; i++) {
        state = size.receiveHeartbeats(state, appliedOffset);
      }
      values.put(
          "heartbeat.received.ns",
          (System.nanoTime() - startedAt) / (double) (TICKS * Math.max(1, members - 1)));
    }
  }

  private void ticks(State start) {
    for (int round = 0; round < ROUNDS; round++) {
      State state = start;
      long bytes = 0;
      long messages = 0;
      long startedAt = System.nanoTime();
      for (int i = 1; i <= TICKS; i++) {
        Transition transition =
            Reducer.reduce(state, new Event.Tick(DesignSize.NOW + i * 50_000_000L));
        state = transition.state();
        for (Effect effect : transition.effects()) {
          if (effect instanceof Effect.Send send) {
            messages++;
            bytes += round == 0 ? PeerCodec.encode(send.message()).length + Integer.BYTES : 0;
          }
        }
      }
      double simulatedSeconds = TICKS * 0.05;
      values.put("ticks.us.per.s", (System.nanoTime() - startedAt) / 1_000.0 / simulatedSeconds);
      values.put("peer.messages.per.s", messages / simulatedSeconds);
      if (round == 0) {
        values.put("peer.bytes.per.s", bytes / simulatedSeconds);
      }
    }
  }
}
