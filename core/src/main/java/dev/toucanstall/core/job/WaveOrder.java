package dev.toucanstall.core.job;

import java.util.List;

/**
 * An operator's wish that machines are maintained. Immutable.
 *
 * @param number the wave's number
 * @param machines the machines
 * @param durationMs within what time, milliseconds
 * @param maxParallel most machines that may be down for it at once
 */
public record WaveOrder(int number, List<String> machines, long durationMs, int maxParallel) {

  /** Copies the list. */
  public WaveOrder {
    machines = List.copyOf(machines);
  }
}
