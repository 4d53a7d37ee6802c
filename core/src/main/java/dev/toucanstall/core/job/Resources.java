package dev.toucanstall.core.job;

/**
 * An amount of resources: the requirement of a task or the capacity of a backend server. Immutable.
 *
 * @param cpu processor time, in thousandths of a core
 * @param memory memory, in megabytes
 * @param gpu number of accelerators
 */
public record Resources(long cpu, long memory, long gpu) {

  /** No resources. */
  public static final Resources NONE = new Resources(0, 0, 0);

  /**
   * Adds another amount.
   *
   * @param other the other amount
   * @return the sum
   */
  public Resources plus(Resources other) {
    return new Resources(cpu + other.cpu, memory + other.memory, gpu + other.gpu);
  }

  /**
   * Subtracts another amount.
   *
   * @param other the other amount
   * @return the difference, whose components may be negative
   */
  public Resources minus(Resources other) {
    return new Resources(cpu - other.cpu, memory - other.memory, gpu - other.gpu);
  }

  /**
   * Returns whether this amount fits into another one, such as a free capacity.
   *
   * @param capacity the other amount
   * @return true if no component exceeds that of the other amount
   */
  public boolean fitsInto(Resources capacity) {
    return cpu <= capacity.cpu && memory <= capacity.memory && gpu <= capacity.gpu;
  }

  /**
   * Returns whether this amount is within a limit.
   *
   * @param limit the limit; a component of 0 means no limit
   * @return true if no component exceeds its limit
   */
  public boolean isWithin(Resources limit) {
    return within(cpu, limit.cpu) && within(memory, limit.memory) && within(gpu, limit.gpu);
  }

  private static boolean within(long amount, long limit) {
    return limit == 0 || amount <= limit;
  }
}
