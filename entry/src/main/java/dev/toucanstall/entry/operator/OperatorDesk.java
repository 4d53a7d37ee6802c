package dev.toucanstall.entry.operator;

import dev.toucanstall.core.effect.OperatorAnswer;
import dev.toucanstall.core.event.Event;
import dev.toucanstall.core.event.OperatorRequest;
import dev.toucanstall.runtime.loop.PendingQueries;
import java.time.Duration;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** Where operators' requests wait for the control thread's answers. Thread-safe. */
public final class OperatorDesk {

  private static final Duration PATIENCE = Duration.ofSeconds(15);

  private final PendingQueries<OperatorAnswer> asks = new PendingQueries<>();
  private volatile boolean ready;

  /**
   * Asks the control thread and waits for its answer.
   *
   * @param request what is asked
   * @param events takes events to the control thread
   * @return the answer, null if none came in time
   * @throws InterruptedException if the thread is interrupted meanwhile
   */
  public @Nullable OperatorAnswer ask(OperatorRequest request, Consumer<Event> events)
      throws InterruptedException {
    return asks.query(
        handle -> events.accept(new Event.OperatorAsked(System.nanoTime(), handle, request)),
        PATIENCE);
  }

  /**
   * Hands an answer to whoever waits for it.
   *
   * @param handle the handle of the question
   * @param answer the answer
   */
  public void put(long handle, OperatorAnswer answer) {
    asks.complete(handle, answer);
  }

  /**
   * Sets what the balancer is told.
   *
   * @param next whether this instance takes requests
   */
  public void setReady(boolean next) {
    ready = next;
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
