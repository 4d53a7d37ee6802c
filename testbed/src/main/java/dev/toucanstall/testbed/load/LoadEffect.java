package dev.toucanstall.testbed.load;

/** What the load tool is to do. */
sealed interface LoadEffect {

  /**
   * Sends a request.
   *
   * @param stream the index of its stream
   * @param number its number
   * @param dueAt when it was due, from which its latency counts
   */
  record SendRequest(int stream, long number, long dueAt) implements LoadEffect {}

  /** Ends the load. */
  record Finish() implements LoadEffect {}
}
