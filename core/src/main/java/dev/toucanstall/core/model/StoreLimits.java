package dev.toucanstall.core.model;

/**
 * Limits of the platform's log service. Immutable.
 *
 * @param recordBytes largest size of a record, in bytes
 * @param callBytes largest total size of the records of one append, in bytes
 */
public record StoreLimits(int recordBytes, int callBytes) {

  /** Limits of a log service that names none. */
  public static final StoreLimits DEFAULT = new StoreLimits(262_144, 2_097_152);

  /**
   * Creates the limits.
   *
   * @throws IllegalArgumentException if a limit is not positive
   */
  public StoreLimits {
    if (recordBytes < 1 || callBytes < 1) {
      throw new IllegalArgumentException(
          "limits of %d and %d bytes are not positive".formatted(recordBytes, callBytes));
    }
  }
}
