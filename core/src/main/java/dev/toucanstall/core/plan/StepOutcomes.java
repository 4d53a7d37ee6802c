package dev.toucanstall.core.plan;

import java.util.HashSet;
import java.util.Set;

/**
 * Where the runs of a step have failed, and whether any has succeeded, in this term. Owned by the
 * control thread.
 */
final class StepOutcomes {

  /** Number of backend servers from which failures are the step's own if no run has succeeded. */
  private static final int EVERYWHERE_FROM = 2;

  private boolean anySucceeded;

  /** Ids of the backend servers on which runs have failed. */
  private Set<String> failedOn = Set.of();

  /**
   * Takes note that a run has succeeded.
   *
   * @return whether it is the first one
   */
  boolean succeeded() {
    boolean first = !anySucceeded;
    anySucceeded = true;
    return first;
  }

  /**
   * Takes note that a run has failed.
   *
   * @param server id of the backend server
   * @return whether none had failed there before
   */
  boolean failed(String server) {
    if (failedOn.isEmpty()) {
      failedOn = new HashSet<>();
    }
    return failedOn.add(server);
  }

  /** Returns the ids of the backend servers on which runs have failed, to be read only. */
  Set<String> failedOn() {
    return failedOn;
  }

  /** Returns whether some run has succeeded, so that the step can be done. */
  boolean anySucceeded() {
    return anySucceeded;
  }

  /** Returns whether no run succeeds anywhere as far as known, so that the step is at fault. */
  boolean failsEverywhere() {
    return !anySucceeded && failedOn.size() >= EVERYWHERE_FROM;
  }
}
