package dev.toucanstall.core.state;

import dev.toucanstall.core.model.Urgency;
import org.pcollections.TreePMap;

/**
 * A team's waiting requests in one pool, by number. Urgent ones go first; a batch request whose due
 * time comes near goes with them.
 *
 * @param urgentDeadlines the deadlines of urgent requests by number
 * @param batchDeadlines the deadlines of batch requests by number
 */
public record TeamQueue(TreePMap<Long, Long> urgentDeadlines, TreePMap<Long, Long> batchDeadlines) {

  /** A queue with nothing in it. */
  public static final TeamQueue EMPTY = new TeamQueue(TreePMap.empty(), TreePMap.empty());

  /**
   * Returns the number of waiting requests.
   *
   * @return the number
   */
  public int size() {
    return urgentDeadlines.size() + batchDeadlines.size();
  }

  /**
   * Tells whether something urgent waits.
   *
   * @param now the time
   * @param dueMargin how long before its deadline a batch request becomes urgent
   * @return true if the first request is urgent or nearly due
   */
  public boolean hasUrgent(long now, long dueMargin) {
    return !urgentDeadlines.isEmpty()
        || (!batchDeadlines.isEmpty() && batchDeadlines.firstEntry().getValue() - now <= dueMargin);
  }

  /**
   * Returns the number of the request that goes first.
   *
   * @param now the time
   * @param dueMargin how long before its deadline a batch request becomes urgent
   * @return the number; the queue must not be empty
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
   * Returns the queue with a request added.
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
   * Returns the queue without a request.
   *
   * @param number the request's number
   * @return the new queue
   */
  public TeamQueue minus(long number) {
    return new TeamQueue(urgentDeadlines.minus(number), batchDeadlines.minus(number));
  }
}
