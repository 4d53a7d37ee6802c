package dev.toucanstall.entry.operator;

import dev.toucanstall.core.effect.OperatorAnswer;
import dev.toucanstall.core.event.Event;
import dev.toucanstall.core.event.OperatorRequest;
import dev.toucanstall.runtime.loop.PendingQueries;
import java.time.Duration;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Passes operators' requests to the control thread and the answers back to the operators. Holds
 * whether this instance is ready. Thread-safe.
 */
public final class OperatorGateway {

  private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(15);

  private final PendingQueries<OperatorAnswer> pendingQueries = new PendingQueries<>();
  private volatile boolean ready;

  /**
   * Posts a request to the control thread and waits for the answer.
   *
   * @param request the operator's request
   * @param events posts events to the control thread
   * @return the answer, null if none came within 15 seconds
   * @throws InterruptedException if the thread is interrupted while it waits
   */
  public @Nullable OperatorAnswer submit(OperatorRequest request, Consumer<Event> events)
      throws InterruptedException {
    return pendingQueries.query(
        handle -> events.accept(new Event.OperatorAsked(System.nanoTime(), handle, request)),
        ANSWER_TIMEOUT);
  }

  /**
   * Passes an answer to the thread that waits for it; dropped if the wait has ended.
   *
   * @param handle handle of the request, from its {@link Event.OperatorAsked}
   * @param answer the answer
   */
  public void answer(long handle, OperatorAnswer answer) {
    pendingQueries.complete(handle, answer);
  }

  /**
   * Sets the readiness that the load balancer reads.
   *
   * @param value whether this instance accepts requests
   */
  public void setReady(boolean value) {
    ready = value;
  }

  /**
   * Returns the readiness, false until it is first set.
   *
   * @return whether this instance accepts requests
   */
  public boolean isReady() {
    return ready;
  }
}
