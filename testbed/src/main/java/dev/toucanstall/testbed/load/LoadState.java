package dev.toucanstall.testbed.load;

import java.util.List;
import org.pcollections.TreePMap;

/**
 * State of the load generator. Immutable. Times are in nanoseconds of the monotonic clock.
 *
 * @param streams streams of requests
 * @param bursts schedule of the streams' bursts
 * @param startedAt time of the start
 * @param sendUntil time from which no more requests are sent
 * @param nextAt time at which the next request is due, by index of the stream
 * @param sent number of sent requests
 * @param inFlight number of requests without an answer
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
