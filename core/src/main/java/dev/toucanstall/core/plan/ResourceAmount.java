package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.Resources;

/**
 * An amount of work or of room, which need not be whole. Immutable.
 *
 * @param cpu thousandths of a core, or milliseconds of them
 * @param memory megabytes, or milliseconds of them
 */
record ResourceAmount(double cpu, double memory) {

  static final ResourceAmount NONE = new ResourceAmount(0, 0);

  static ResourceAmount of(Resources amount) {
    return new ResourceAmount(amount.cpu(), amount.memory());
  }

  ResourceAmount plus(ResourceAmount other) {
    return new ResourceAmount(cpu + other.cpu, memory + other.memory);
  }

  ResourceAmount times(double factor) {
    return new ResourceAmount(cpu * factor, memory * factor);
  }

  /** Returns the larger of each part. */
  ResourceAmount atLeast(ResourceAmount other) {
    return new ResourceAmount(Math.max(cpu, other.cpu), Math.max(memory, other.memory));
  }

  /** Returns how many machines of a size hold this amount, by what there is least of. */
  double machines(Resources size) {
    return Math.max(part(cpu, size.cpu()), part(memory, size.memory()));
  }

  private static double part(double amount, long size) {
    return size == 0 ? 0 : amount / size;
  }
}
