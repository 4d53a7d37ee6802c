package dev.toucanstall.testbed.load;

import java.util.List;
import org.pcollections.TreePMap;

/**
 * The state of the load tool. Immutable.
 *
 * @param streams the streams
 * @param bursts how much each asks over time
 * @param startedAt when the load began
 * @param sendUntil when no more requests are sent
 * @param nextAt when the next request of each stream is due, by index
 * @param sent how many were sent
 * @param inFlight how many wait for an answer
 */
record LoadState(
    List<RequestStream> streams,
    BurstSchedule bursts,
    long startedAt,
    long sendUntil,
    TreePMap<Integer, Long> nextAt,
    long sent,
    long inFlight) {

  static LoadState initial(
      List<RequestStream> streams, BurstSchedule phases, long now, long durationNanos) {
    TreePMap<Integer, Long> nextAt = TreePMap.empty();
    for (int i = 0; i < streams.size(); i++) {
      nextAt = nextAt.plus(i, now);
    }
    return new LoadState(List.copyOf(streams), phases, now, now + durationNanos, nextAt, 0, 0);
  }

  LoadState sent(int stream, long next) {
    return new LoadState(
        streams, bursts, startedAt, sendUntil, nextAt.plus(stream, next), sent + 1, inFlight + 1);
  }

  LoadState finished() {
    return new LoadState(streams, bursts, startedAt, sendUntil, nextAt, sent, inFlight - 1);
  }

  boolean isDone(long now) {
    return now >= sendUntil && inFlight == 0;
  }
}
