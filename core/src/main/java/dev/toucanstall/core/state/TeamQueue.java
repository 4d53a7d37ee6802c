package dev.toucanstall.core.state;

import dev.toucanstall.core.model.Urgency;
import org.pcollections.TreePMap;

/**
 * A team's waiting requests in one pool, in the order of their numbers. Immutable.
 *
 * <p>Urgent requests go first. The first batch request goes with them once its deadline is near.
 * Deadlines and times are in nanoseconds of the monotonic clock.
 *
 * @param urgentDeadlines deadlines of urgent requests by number
 * @param batchDeadlines deadlines of batch requests by number
 */
public record TeamQueue(TreePMap<Long, Long> urgentDeadlines, TreePMap<Long, Long> batchDeadlines) {

  /** Queue without requests. */
  public static final TeamQueue EMPTY = new TeamQueue(TreePMap.empty(), TreePMap.empty());

  /**
   * Returns the number of waiting requests, urgent and batch.
   *
   * @return the number
   */
  public int size() {
    return urgentDeadlines.size() + batchDeadlines.size();
  }

  /**
   * Tells whether an urgent request waits, or a batch request whose deadline is near.
   *
   * @param now the time
   * @param dueMargin time before its deadline at which a batch request becomes urgent
   * @return true if there is such a request; of the batch requests only the first is examined
   */
  public boolean hasUrgent(long now, long dueMargin) {
    return !urgentDeadlines.isEmpty()
        || (!batchDeadlines.isEmpty() && batchDeadlines.firstEntry().getValue() - now <= dueMargin);
  }

  /**
   * Returns the number of the request that goes first. The queue must not be empty.
   *
   * @param now the time
   * @param dueMargin time before its deadline at which a batch request becomes urgent
   * @return the number of the request
   */
  public long firstNumber(long now, long dueMargin) {
    boolean batchDue =
        !batchDeadlines.isEmpty() && batchDeadlines.firstEntry().getValue() - now <= dueMargin;
    boolean batchFirst =
        urgentDeadlines.isEmpty()
            || (batchDue && batchDeadlines.firstKey() < urgentDeadlines.firstKey());
    return batchFirst ? batchDeadlines.firstKey() : urgentDeadlines.firstKey();
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
        ? new TeamQueue(urgentDeadlines.plus(number, deadline), batchDeadlines)
        : new TeamQueue(urgentDeadlines, batchDeadlines.plus(number, deadline));
  }

  /**
   * Returns a copy without a request.
   *
   * @param number number of the request, need not be in the queue
   * @return the new queue
   */
  public TeamQueue minus(long number) {
    return new TeamQueue(urgentDeadlines.minus(number), batchDeadlines.minus(number));
  }
}
