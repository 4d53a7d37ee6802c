package dev.toucanstall.core.model;

/**
 * What an entry instance may use of its machine. Immutable.
 *
 * @param cores its processor time a second, in cores
 * @param memoryMb its memory in megabytes
 * @param linkMbps its link in megabits a second
 */
public record InstanceSize(double cores, long memoryMb, double linkMbps) {

  /** Nothing is known of the size. */
  public static final InstanceSize UNKNOWN = new InstanceSize(0, 0, 0);
}
