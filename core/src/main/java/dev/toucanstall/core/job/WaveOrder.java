package dev.toucanstall.core.job;

import java.util.List;

/**
 * An operator's order of a maintenance wave: each of a set of machines is to be maintained.
 * Immutable.
 *
 * @param number the wave's number
 * @param machines names of the machines
 * @param durationMs time within which the wave should complete, in milliseconds
 * @param maxParallel maximum number of machines that may be down for the wave at the same time
 */
public record WaveOrder(int number, List<String> machines, long durationMs, int maxParallel) {

  /** Copies the list of machines. */
  public WaveOrder {
    machines = List.copyOf(machines);
  }
}
