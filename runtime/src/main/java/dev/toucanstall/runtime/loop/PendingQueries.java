package dev.toucanstall.runtime.loop;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongConsumer;
import org.jspecify.annotations.Nullable;

/**
 * Where other threads wait for answers of the control thread. Thread-safe.
 *
 * @param <A> the answers
 */
public final class PendingQueries<A> {

  private final Map<Long, BlockingQueue<A>> waiting = new ConcurrentHashMap<>();
  private final AtomicLong lastHandle = new AtomicLong();

  /**
   * Asks and waits for the answer.
   *
   * @param ask posts the question under the handle that it is given
   * @param patience how long to wait
   * @return the answer, null if none came in time
   * @throws InterruptedException if the thread is interrupted meanwhile
   */
  public @Nullable A query(LongConsumer ask, Duration patience) throws InterruptedException {
    long handle = lastHandle.incrementAndGet();
    BlockingQueue<A> answers = new ArrayBlockingQueue<>(1);
    waiting.put(handle, answers);
    try {
      ask.accept(handle);
      return answers.poll(patience.toMillis(), TimeUnit.MILLISECONDS);
    } finally {
      waiting.remove(handle);
    }
  }

  /**
   * Hands an answer to whoever waits for it; an answer that comes late is dropped.
   *
   * @param handle the handle of the question
   * @param answer the answer
   */
  public void complete(long handle, A answer) {
    BlockingQueue<A> answers = waiting.get(handle);
    if (answers != null) {
      answers.add(answer);
    }
  }
}
