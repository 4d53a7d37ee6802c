package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.Resources;

/**
 * An amount of work or of room, which need not be whole. Immutable.
 *
 * @param cpu thousandths of a core, or milliseconds of them
 * @param memory megabytes, or milliseconds of them
 */
record Load(double cpu, double memory) {

  static final Load NONE = new Load(0, 0);

  static Load of(Resources amount) {
    return new Load(amount.cpu(), amount.memory());
  }

  Load plus(Load other) {
    return new Load(cpu + other.cpu, memory + other.memory);
  }

  Load times(double factor) {
    return new Load(cpu * factor, memory * factor);
  }

  /** Returns the larger of each part. */
  Load atLeast(Load other) {
    return new Load(Math.max(cpu, other.cpu), Math.max(memory, other.memory));
  }

  /** Returns how many machines of a size hold this amount, by what there is least of. */
  double machines(Resources size) {
    return Math.max(part(cpu, size.cpu()), part(memory, size.memory()));
  }

  private static double part(double amount, long size) {
    return size == 0 ? 0 : amount / size;
  }
}
