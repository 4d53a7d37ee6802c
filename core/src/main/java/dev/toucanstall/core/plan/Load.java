package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.Resources;

/**
 * Amount of resources, or of resources multiplied by a time, with fractions. Immutable.
 *
 * @param cpu thousandths of a core, or of a core multiplied by milliseconds
 * @param memory megabytes, or megabytes multiplied by milliseconds
 */
record Load(double cpu, double memory) {

  /** Nothing at all. */
  static final Load NONE = new Load(0, 0);

  /** Converts an amount of resources; accelerators are left out. */
  static Load of(Resources amount) {
    return new Load(amount.cpu(), amount.memory());
  }

  /** Returns the sum with another amount. */
  Load plus(Load other) {
    return new Load(cpu + other.cpu, memory + other.memory);
  }

  /** Returns this amount multiplied by a factor. */
  Load times(double factor) {
    return new Load(cpu * factor, memory * factor);
  }

  /** Returns the larger amount of each resource. */
  Load atLeast(Load other) {
    return new Load(Math.max(cpu, other.cpu), Math.max(memory, other.memory));
  }

  /**
   * Returns how many machines of a size hold this amount; the scarcest resource decides. A resource
   * that the machines lack is ignored.
   */
  double machines(Resources size) {
    return Math.max(part(cpu, size.cpu()), part(memory, size.memory()));
  }

  /** Returns an amount as a multiple of a size, 0 if the size is 0. */
  private static double part(double amount, long size) {
    return size == 0 ? 0 : amount / size;
  }
}
