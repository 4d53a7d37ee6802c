package dev.toucanstall.core.job;

/**
 * An amount of what tasks need and backend servers have. Immutable.
 *
 * @param cpu thousandths of a core
 * @param memory megabytes
 * @param gpu accelerators
 */
public record Resources(long cpu, long memory, long gpu) {

  /** Nothing at all. */
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
   * Takes another amount away.
   *
   * @param other the other amount
   * @return the difference, which may be negative
   */
  public Resources minus(Resources other) {
    return new Resources(cpu - other.cpu, memory - other.memory, gpu - other.gpu);
  }

  /**
   * Tells whether this amount fits into another.
   *
   * @param room the other amount
   * @return true if no part is larger
   */
  public boolean fitsInto(Resources room) {
    return cpu <= room.cpu && memory <= room.memory && gpu <= room.gpu;
  }

  /**
   * Tells whether this amount keeps a limit.
   *
   * @param limit the limit; a part that is 0 limits nothing
   * @return true if so
   */
  public boolean isWithin(Resources limit) {
    return within(cpu, limit.cpu) && within(memory, limit.memory) && within(gpu, limit.gpu);
  }

  private static boolean within(long amount, long limit) {
    return limit == 0 || amount <= limit;
  }
}
