package dev.toucanstall.testbed.soak;

import java.util.List;

/** Side effect of the soak's stand-ins. */
sealed interface SoakEffect {

  /** Signal to an entry process, or its start. */
  enum Signal {
    START,
    KILL,
    FREEZE,
    THAW
  }

  /** Answers an HTTP request; status 0 closes its connection without an answer. */
  record Reply(long handle, int status, byte[] body) implements SoakEffect {}

  /** Answers a request of the soak itself. */
  record Report(long handle, Open open) implements SoakEffect {}

  /** Posts an event after a delay. */
  record PostLater(SoakEvent event, long delayMillis) implements SoakEffect {}

  /** Signals an entry process after a delay. */
  record SignalEntry(int entry, Signal signal, long delayMillis) implements SoakEffect {}

  /** Sets how the link of an entry instance to a target behaves: 0 the store, N + 1 server N. */
  record SetLink(int entry, int target, LinkMode mode) implements SoakEffect {}

  /** Writes a line of the record; one of a broken rule also counts as a break. */
  record Note(long at, String text, boolean isBreak) implements SoakEffect {}

  /**
   * What is still expected.
   *
   * @param jobs accepted short jobs that no answer has shown as completed
   * @param idle lasting tasks that are not at work
   * @param accepted number of jobs that were accepted
   */
  record Open(List<SoakJob> jobs, List<String> idle, long accepted) {}
}
