package dev.toucanstall.core.state;

import dev.toucanstall.core.model.Urgency;
import org.pcollections.TreePMap;

/**
 * A team's waiting requests in one pool, in the order of their numbers. Immutable.
 *
 * <p>Urgent requests go first. The first batch request goes with them once its deadline is near.
 * Deadlines and times are in nanoseconds of the monotonic clock.
 *
 * @param urgent deadlines of urgent requests by number
 * @param batch deadlines of batch requests by number
 */
public record TeamQueue(TreePMap<Long, Long> urgent, TreePMap<Long, Long> batch) {

  /** Queue without requests. */
  public static final TeamQueue EMPTY = new TeamQueue(TreePMap.empty(), TreePMap.empty());

  /**
   * Returns the number of waiting requests, urgent and batch.
   *
   * @return the number
   */
  public int size() {
    return urgent.size() + batch.size();
  }

  /**
   * Tells whether an urgent request waits, or a batch request whose deadline is near.
   *
   * @param now the time
   * @param dueMargin time before its deadline at which a batch request becomes urgent
   * @return true if there is such a request; of the batch requests only the first is examined
   */
  public boolean hasUrgent(long now, long dueMargin) {
    return !urgent.isEmpty()
        || (!batch.isEmpty() && batch.firstEntry().getValue() - now <= dueMargin);
  }

  /**
   * Returns the number of the request that goes first. The queue must not be empty.
   *
   * @param now the time
   * @param dueMargin time before its deadline at which a batch request becomes urgent
   * @return the number of the request
   */
  public long first(long now, long dueMargin) {
    boolean batchDue = !batch.isEmpty() && batch.firstEntry().getValue() - now <= dueMargin;
    boolean batchFirst = urgent.isEmpty() || (batchDue && batch.firstKey() < urgent.firstKey());
    return batchFirst ? batch.firstKey() : urgent.firstKey();
  }

  /**
   * Returns a copy with a request added.
   *
   * @param request the request
   * @return the new queue
   */
  public TeamQueue plus(Request request) {
    long number = request.number();
    long deadline = request.arrival().deadline();
    return request.arrival().urgency() == Urgency.URGENT
        ? new TeamQueue(urgent.plus(number, deadline), batch)
        : new TeamQueue(urgent, batch.plus(number, deadline));
  }

  /**
   * Returns a copy without a request.
   *
   * @param number number of the request, need not be in the queue
   * @return the new queue
   */
  public TeamQueue minus(long number) {
    return new TeamQueue(urgent.minus(number), batch.minus(number));
  }
}
