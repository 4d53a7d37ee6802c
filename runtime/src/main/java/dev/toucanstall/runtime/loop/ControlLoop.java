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
 * Event loop on one thread, which owns a state, takes events from a blocking queue, applies a
 * reducer to each and passes the effects to an interpreter. Events may be posted by any thread; the
 * state is never shared. An {@link Error} ends the thread.
 *
 * @param <S> the type of the state
 * @param <E> the type of the events
 * @param <F> the type of the effects
 */
public final class ControlLoop<S, E, F> implements AutoCloseable {

  private static final long JOIN_TIMEOUT_MILLIS = 2_000;

  /** Time between two reads of the thread's processor time, each of which is a system call. */
  private static final long CPU_SAMPLE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private final BlockingDeque<QueuedEvent<E>> queue = new LinkedBlockingDeque<>();
  private final Decider<S, E, F> decider;
  private final Consumer<F> interpreter;
  private final BiConsumer<E, RuntimeException> failureHandler;
  private final LongFunction<E> tickFactory;
  private final Function<S, Duration> tickInterval;
  private final Thread thread;
  private volatile boolean closed;
  private volatile long cpuNanos;
  private LoopObserver<S, E> observer =
      (newState, event, postedNanos, begunNanos, decidedNanos, endedNanos) -> {};
  private S state;

  /** An event and the time when it was posted, in nanoseconds of {@link System#nanoTime}. */
  private record QueuedEvent<E>(E event, long postedNanos) {}

  /**
   * Creates a loop with a constant interval between ticks; {@link #start} starts it.
   *
   * @param name name of the thread
   * @param initial the initial state
   * @param decider the reducer
   * @param interpreter carries out effects; must not block for long
   * @param failureHandler receives each event whose decision or observer threw, and an event once
   *     for each of its effects that threw; the other effects are carried out. A decision that
   *     throws leaves a state unchanged that is replaced by decisions; one that is changed in place
   *     must be repaired by the reducer
   * @param tickInterval time between ticks
   * @param tickFactory creates a tick event from the time, in nanoseconds of {@link
   *     System#nanoTime}
   */
  public ControlLoop(
      String name,
      S initial,
      Decider<S, E, F> decider,
      Consumer<F> interpreter,
      BiConsumer<E, RuntimeException> failureHandler,
      Duration tickInterval,
      LongFunction<E> tickFactory) {
    this(name, initial, decider, interpreter, failureHandler, state -> tickInterval, tickFactory);
  }

  /**
   * Creates a loop whose interval between ticks depends on its state; {@link #start} starts it.
   *
   * @param name name of the thread
   * @param initial the initial state
   * @param decider the reducer
   * @param interpreter carries out effects; must not block for long
   * @param failureHandler receives each event whose decision or observer threw, and an event once
   *     for each of its effects that threw; the other effects are carried out. A decision that
   *     throws leaves a state unchanged that is replaced by decisions; one that is changed in place
   *     must be repaired by the reducer
   * @param tickInterval returns the time until the next tick
   * @param tickFactory creates a tick event from the time, in nanoseconds of {@link
   *     System#nanoTime}
   */
  public ControlLoop(
      String name,
      S initial,
      Decider<S, E, F> decider,
      Consumer<F> interpreter,
      BiConsumer<E, RuntimeException> failureHandler,
      Function<S, Duration> tickInterval,
      LongFunction<E> tickFactory) {
    this.state = initial;
    this.decider = decider;
    this.interpreter = interpreter;
    this.failureHandler = failureHandler;
    this.tickInterval = tickInterval;
    this.tickFactory = tickFactory;
    this.thread = new Thread(this::run, name);
  }

  /**
   * Sets the observer of handled events; must be called before {@link #start}.
   *
   * @param loopObserver the observer
   */
  public void setObserver(LoopObserver<S, E> loopObserver) {
    observer = loopObserver;
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
    queue.add(new QueuedEvent<>(event, System.nanoTime()));
  }

  /**
   * Queues an event ahead of all queued events.
   *
   * @param event the event
   */
  public void postFirst(E event) {
    queue.addFirst(new QueuedEvent<>(event, System.nanoTime()));
  }

  /**
   * Returns the number of queued events.
   *
   * @return the number of events
   */
  public int backlog() {
    return queue.size();
  }

  /**
   * Returns the processor time that the thread has used, as read between events about every half
   * second.
   *
   * @return the time in nanoseconds, 0 before the first reading, -1 if the JVM does not measure it
   */
  public long cpuNanos() {
    return cpuNanos;
  }

  /**
   * Handles events until the loop is closed. A loop that ends by an exception fails its process.
   */
  private void run() {
    try {
      handleEvents();
    } catch (RuntimeException e) {
      throw new AssertionError("the control loop can't go on", e);
    }
  }

  private void handleEvents() {
    long now = System.nanoTime();
    long nextTick = now;
    long nextCpuSample = now;
    while (!closed) {
      QueuedEvent<E> next = nextTick - now > 0 ? queue.poll() : null;
      if (next == null && nextTick - now > 0) {
        next = awaitEvent(nextTick - now);
        now = System.nanoTime();
      }
      if (next != null) {
        now = handle(next.event(), next.postedNanos(), now);
      }
      if (nextTick - now <= 0) {
        now = handle(tickFactory.apply(now), nextTick, now);
        nextTick = now + tickInterval.apply(state).toNanos();
      }
      if (nextCpuSample - now <= 0) {
        cpuNanos = ThreadTimes.currentCpuNanos();
        nextCpuSample = now + CPU_SAMPLE_INTERVAL_NANOS;
      }
    }
  }

  private @Nullable QueuedEvent<E> awaitEvent(long waitNanos) {
    try {
      return queue.poll(waitNanos, TimeUnit.NANOSECONDS);
    } catch (InterruptedException e) {
      closed = true;
      return null;
    }
  }

  /** Handles an event whose decision begins at {@code begunNanos}; returns the end time. */
  private long handle(E event, long postedNanos, long begunNanos) {
    long decidedNanos = begunNanos;
    try {
      Decision<S, F> decision = decider.decide(state, event);
      state = decision.state();
      decidedNanos = System.nanoTime();
      for (F effect : decision.effects()) {
        carryOut(effect, event);
      }
    } catch (RuntimeException e) {
      failureHandler.accept(event, e);
    }
    long endedNanos = System.nanoTime();
    try {
      observer.eventHandled(state, event, postedNanos, begunNanos, decidedNanos, endedNanos);
    } catch (RuntimeException e) {
      failureHandler.accept(event, e);
    }
    return endedNanos;
  }

  /** Carries out an effect. One that throws does not keep the others from being carried out. */
  private void carryOut(F effect, E event) {
    try {
      interpreter.accept(effect);
    } catch (RuntimeException e) {
      failureHandler.accept(event, e);
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
      thread.join(JOIN_TIMEOUT_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
