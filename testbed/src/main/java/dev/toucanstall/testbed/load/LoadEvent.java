package dev.toucanstall.testbed.load;

/** What happens to the load tool. Times are monotonic nanoseconds. */
sealed interface LoadEvent {

  /** Time has passed. */
  record Tick(long at) implements LoadEvent {}

  /** A request has its answer. */
  record RequestFinished(long at) implements LoadEvent {}
}
