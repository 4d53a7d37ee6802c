package dev.toucanstall.core.state;

import dev.toucanstall.core.model.Urgency;
import org.pcollections.TreePMap;

/**
 * A team's waiting requests in one pool, by number. Urgent ones go first; a batch request whose due
 * time comes near goes with them.
 *
 * @param urgent the deadlines of urgent requests by number
 * @param batch the deadlines of batch requests by number
 */
public record TeamQueue(TreePMap<Long, Long> urgent, TreePMap<Long, Long> batch) {

  /** A queue with nothing in it. */
  public static final TeamQueue EMPTY = new TeamQueue(TreePMap.empty(), TreePMap.empty());

  /**
   * Returns the number of waiting requests.
   *
   * @return the number
   */
  public int size() {
    return urgent.size() + batch.size();
  }

  /**
   * Tells whether something urgent waits.
   *
   * @param now the time
   * @param dueMargin how long before its deadline a batch request becomes urgent
   * @return true if the first request is urgent or nearly due
   */
  public boolean hasUrgent(long now, long dueMargin) {
    return !urgent.isEmpty()
        || (!batch.isEmpty() && batch.firstEntry().getValue() - now <= dueMargin);
  }

  /**
   * Returns the number of the request that goes first.
   *
   * @param now the time
   * @param dueMargin how long before its deadline a batch request becomes urgent
   * @return the number; the queue must not be empty
   */
  public long first(long now, long dueMargin) {
    boolean batchDue = !batch.isEmpty() && batch.firstEntry().getValue() - now <= dueMargin;
    boolean batchFirst = urgent.isEmpty() || (batchDue && batch.firstKey() < urgent.firstKey());
    return batchFirst ? batch.firstKey() : urgent.firstKey();
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
        ? new TeamQueue(urgent.plus(number, deadline), batch)
        : new TeamQueue(urgent, batch.plus(number, deadline));
  }

  /**
   * Returns the queue without a request.
   *
   * @param number the request's number
   * @return the new queue
   */
  public TeamQueue minus(long number) {
    return new TeamQueue(urgent.minus(number), batch.minus(number));
  }
}
