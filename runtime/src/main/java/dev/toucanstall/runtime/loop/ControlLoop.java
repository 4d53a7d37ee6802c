package dev.toucanstall.runtime.loop;

import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
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

  private final BlockingQueue<E> queue = new LinkedBlockingQueue<>();
  private final Decider<S, E, F> decider;
  private final Consumer<F> interpreter;
  private final BiConsumer<E, RuntimeException> onFailure;
  private final LongFunction<E> tick;
  private final Function<S, Duration> tickEvery;
  private final Thread thread;
  private volatile boolean closed;
  private volatile long cpuNanos;
  private S state;

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
    queue.add(event);
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
   * Returns the processor time that the thread has used, as of its last tick.
   *
   * @return nanoseconds
   */
  public long cpuNanos() {
    return cpuNanos;
  }

  private void run() {
    long nextTick = System.nanoTime();
    while (!closed) {
      long wait = nextTick - System.nanoTime();
      E event = wait > 0 ? take(wait) : null;
      if (event != null) {
        handle(event);
      }
      if (nextTick - System.nanoTime() <= 0) {
        handle(tick.apply(System.nanoTime()));
        nextTick = System.nanoTime() + tickEvery.apply(state).toNanos();
        cpuNanos = ThreadTimes.currentCpuNanos();
      }
    }
  }

  private @Nullable E take(long waitNanos) {
    try {
      return queue.poll(waitNanos, TimeUnit.NANOSECONDS);
    } catch (InterruptedException e) {
      closed = true;
      return null;
    }
  }

  private void handle(E event) {
    try {
      Decision<S, F> decision = decider.decide(state, event);
      state = decision.state();
      for (F effect : decision.effects()) {
        interpreter.accept(effect);
      }
    } catch (RuntimeException e) {
      onFailure.accept(event, e);
    }
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
