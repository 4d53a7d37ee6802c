package dev.toucanstall.testbed.load;

/** What the load tool is to do. */
sealed interface LoadEffect {

  /**
   * Sends a request.
   *
   * @param stream the index of its stream
   * @param number its number
   * @param intendedAt when it was due, from which its latency counts
   */
  record Fire(int stream, long number, long intendedAt) implements LoadEffect {}

  /** Ends the load. */
  record End() implements LoadEffect {}
}
