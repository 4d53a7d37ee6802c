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
 * Queries to the control thread for whose replies other threads wait. Thread-safe.
 *
 * @param <A> the type of the replies
 */
public final class PendingQueries<A> {

  private final Map<Long, BlockingQueue<A>> repliesByHandle = new ConcurrentHashMap<>();
  private final AtomicLong lastHandle = new AtomicLong();

  /**
   * Posts a query and waits for the reply.
   *
   * @param post posts the query with the handle that it is passed
   * @param timeout maximum time to wait
   * @return the reply, null if none arrived in time
   * @throws InterruptedException if the thread is interrupted while it waits
   */
  public @Nullable A query(LongConsumer post, Duration timeout) throws InterruptedException {
    long handle = lastHandle.incrementAndGet();
    BlockingQueue<A> replies = new ArrayBlockingQueue<>(1);
    repliesByHandle.put(handle, replies);
    try {
      post.accept(handle);
      return replies.poll(timeout.toMillis(), TimeUnit.MILLISECONDS);
    } finally {
      repliesByHandle.remove(handle);
    }
  }

  /**
   * Passes a reply to the thread that waits for it, or drops it if the wait has timed out.
   *
   * @param handle handle of the query
   * @param reply the reply
   */
  public void complete(long handle, A reply) {
    BlockingQueue<A> replies = repliesByHandle.get(handle);
    if (replies != null) {
      replies.add(reply);
    }
  }
}
