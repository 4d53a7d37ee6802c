package dev.toucanstall.testbed.load;

/** Event of the load generator, with its time in nanoseconds of the monotonic clock. */
sealed interface LoadEvent {

  /** Periodic tick. */
  record Tick(long at) implements LoadEvent {}

  /** A request was answered or failed. */
  record RequestFinished(long at) implements LoadEvent {}
}
