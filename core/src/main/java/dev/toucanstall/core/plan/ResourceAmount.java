package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.Resources;

/**
 * Amount of resources, or of resources multiplied by a time, with fractions. Immutable.
 *
 * @param cpu thousandths of a core, or of a core multiplied by milliseconds
 * @param memory megabytes, or megabytes multiplied by milliseconds
 */
record ResourceAmount(double cpu, double memory) {

  static final ResourceAmount NONE = new ResourceAmount(0, 0);

  /** Converts an amount of resources; accelerators are left out. */
  static ResourceAmount of(Resources amount) {
    return new ResourceAmount(amount.cpu(), amount.memory());
  }

  ResourceAmount plus(ResourceAmount other) {
    return new ResourceAmount(cpu + other.cpu, memory + other.memory);
  }

  ResourceAmount times(double factor) {
    return new ResourceAmount(cpu * factor, memory * factor);
  }

  /** Returns the larger amount of each resource. */
  ResourceAmount atLeast(ResourceAmount other) {
    return new ResourceAmount(Math.max(cpu, other.cpu), Math.max(memory, other.memory));
  }

  /**
   * Returns how many machines of a size hold this amount; the scarcest resource decides. A resource
   * that the machines lack is ignored.
   */
  double machineCount(Resources size) {
    return Math.max(ratio(cpu, size.cpu()), ratio(memory, size.memory()));
  }

  /** Returns an amount as a multiple of a size, 0 if the size is 0. */
  private static double ratio(double amount, long size) {
    return size == 0 ? 0 : amount / size;
  }
}
