package dev.toucanstall.entry.operator;

import dev.toucanstall.core.effect.OperatorAnswer;
import dev.toucanstall.core.event.Event;
import dev.toucanstall.core.event.OperatorRequest;
import dev.toucanstall.runtime.loop.Asks;
import java.time.Duration;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** Where operators' requests wait for the control thread's answers. Thread-safe. */
public final class OperatorGateway {

  private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(15);

  private final Asks<OperatorAnswer> pending = new Asks<>();
  private volatile boolean ready;

  /**
   * Asks the control thread and waits for its answer.
   *
   * @param request what is asked
   * @param events takes events to the control thread
   * @return the answer, null if none came in time
   * @throws InterruptedException if the thread is interrupted meanwhile
   */
  public @Nullable OperatorAnswer submit(OperatorRequest request, Consumer<Event> events)
      throws InterruptedException {
    return pending.ask(
        handle -> events.accept(new Event.OperatorAsked(System.nanoTime(), handle, request)),
        ANSWER_TIMEOUT);
  }

  /**
   * Hands an answer to whoever waits for it.
   *
   * @param handle the handle of the question
   * @param answer the answer
   */
  public void answer(long handle, OperatorAnswer answer) {
    pending.answer(handle, answer);
  }

  /**
   * Sets what the balancer is told.
   *
   * @param value whether this instance takes requests
   */
  public void setReady(boolean value) {
    ready = value;
  }

  /**
   * Returns what the balancer is told.
   *
   * @return whether this instance takes requests
   */
  public boolean isReady() {
    return ready;
  }
}
