package dev.toucanstall.testbed.load;

/** Side effect of the load generator. */
sealed interface LoadEffect {

  /**
   * Sends a request.
   *
   * @param stream index of the stream
   * @param number number of the request over all streams
   * @param dueAt time at which the request was due, in nanoseconds of the monotonic clock; its
   *     latency counts from here, so that a late send does not hide waiting
   */
  record SendRequest(int stream, long number, long dueAt) implements LoadEffect {}

  /** Ends the run. */
  record Finish() implements LoadEffect {}
}
