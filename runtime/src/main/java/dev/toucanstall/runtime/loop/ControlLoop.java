package dev.toucanstall.runtime.loop;

import java.time.Duration;
import java.util.concurrent.BlockingDeque;
import java.util.concurrent.LinkedBlockingDeque;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongFunction;
import org.jspecify.annotations.Nullable;

/**
 * One thread that owns a state, takes events from a blocking queue, runs a reducer over them and
 * hands its effects to an interpreter. {@link #post} is thread-safe; the state is never shared.
 *
 * @param <S> the state
 * @param <E> the events
 * @param <F> the effects
 */
public final class ControlLoop<S, E, F> implements AutoCloseable {

  private static final long JOIN_MILLIS = 2_000;

  /** Time between two looks at the processor time of the thread, each a system call. */
  private static final long CPU_LOOK_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private final BlockingDeque<Posted<E>> queue = new LinkedBlockingDeque<>();
  private final Decider<S, E, F> decider;
  private final Consumer<F> interpreter;
  private final BiConsumer<E, RuntimeException> onFailure;
  private final LongFunction<E> tick;
  private final Function<S, Duration> tickEvery;
  private final Thread thread;
  private volatile boolean closed;
  private volatile long cpuNanos;
  private LoopObserver<S, E> observer =
      (after, event, postedNanos, begunNanos, decidedNanos, endedNanos) -> {};
  private S state;

  /** An event and when it was queued. */
  private record Posted<E>(E event, long nanos) {}

  /**
   * Creates a loop; {@link #start} starts it.
   *
   * @param name the name of its thread
   * @param initial the first state
   * @param decider the reducer
   * @param interpreter carries out effects; must not block for long
   * @param onFailure told of an event whose decision threw; the state stays as it was
   * @param tickEvery time between ticks
   * @param tick makes the event that tells the time
   */
  public ControlLoop(
      String name,
      S initial,
      Decider<S, E, F> decider,
      Consumer<F> interpreter,
      BiConsumer<E, RuntimeException> onFailure,
      Duration tickEvery,
      LongFunction<E> tick) {
    this(name, initial, decider, interpreter, onFailure, state -> tickEvery, tick);
  }

  /**
   * Creates a loop whose time between ticks depends on its state; {@link #start} starts it.
   *
   * @param name the name of its thread
   * @param initial the first state
   * @param decider the reducer
   * @param interpreter carries out effects; must not block for long
   * @param onFailure told of an event whose decision threw; the state stays as it was
   * @param tickEvery time between ticks
   * @param tick makes the event that tells the time
   */
  public ControlLoop(
      String name,
      S initial,
      Decider<S, E, F> decider,
      Consumer<F> interpreter,
      BiConsumer<E, RuntimeException> onFailure,
      Function<S, Duration> tickEvery,
      LongFunction<E> tick) {
    this.state = initial;
    this.decider = decider;
    this.interpreter = interpreter;
    this.onFailure = onFailure;
    this.tickEvery = tickEvery;
    this.tick = tick;
    this.thread = new Thread(this::run, name);
  }

  /**
   * Tells an observer of each event; to be called before {@link #start}.
   *
   * @param next the observer
   */
  public void setObserver(LoopObserver<S, E> next) {
    observer = next;
  }

  /** Starts the thread. */
  public void start() {
    thread.start();
  }

  /**
   * Queues an event.
   *
   * @param event the event
   */
  public void post(E event) {
    queue.add(new Posted<>(event, System.nanoTime()));
  }

  /**
   * Queues an event ahead of all that wait.
   *
   * @param event the event
   */
  public void postFirst(E event) {
    queue.addFirst(new Posted<>(event, System.nanoTime()));
  }

  /**
   * Returns how many events wait.
   *
   * @return the number
   */
  public int backlog() {
    return queue.size();
  }

  /**
   * Returns the processor time that the thread has used, as of half a second ago.
   *
   * @return nanoseconds
   */
  public long cpuNanos() {
    return cpuNanos;
  }

  private void run() {
    long now = System.nanoTime();
    long nextTick = now;
    long nextCpuLook = now;
    while (!closed) {
      Posted<E> posted = nextTick - now > 0 ? queue.poll() : null;
      if (posted == null && nextTick - now > 0) {
        posted = take(nextTick - now);
        now = System.nanoTime();
      }
      if (posted != null) {
        now = handle(posted.event(), posted.nanos(), now);
      }
      if (nextTick - now <= 0) {
        now = handle(tick.apply(now), nextTick, now);
        nextTick = now + tickEvery.apply(state).toNanos();
      }
      if (nextCpuLook - now <= 0) {
        cpuNanos = ThreadTimes.currentCpuNanos();
        nextCpuLook = now + CPU_LOOK_NANOS;
      }
    }
  }

  private @Nullable Posted<E> take(long waitNanos) {
    try {
      return queue.poll(waitNanos, TimeUnit.NANOSECONDS);
    } catch (InterruptedException e) {
      closed = true;
      return null;
    }
  }

  /** Handles an event whose decision begins now, and returns the time after it. */
  private long handle(E event, long postedNanos, long begunNanos) {
    long decided = begunNanos;
    try {
      Decision<S, F> decision = decider.decide(state, event);
      state = decision.state();
      decided = System.nanoTime();
      for (F effect : decision.effects()) {
        interpreter.accept(effect);
      }
    } catch (RuntimeException e) {
      onFailure.accept(event, e);
    }
    long ended = System.nanoTime();
    try {
      observer.eventHandled(state, event, postedNanos, begunNanos, decided, ended);
    } catch (RuntimeException e) {
      onFailure.accept(event, e);
    }
    return ended;
  }

  @Override
  public void close() {
    closed = true;
    thread.interrupt();
    if (Thread.currentThread() == thread) {
      return;
    }
    try {
      thread.join(JOIN_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
