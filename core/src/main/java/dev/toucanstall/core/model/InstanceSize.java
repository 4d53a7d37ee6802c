package dev.toucanstall.core.model;

/**
 * Resources of the machine that an entry instance may use. Immutable.
 *
 * @param cores processor time in cores, 0 if unknown
 * @param memoryMb memory in megabytes, 0 if unknown
 * @param linkMbps bandwidth of the network link in megabits per second, 0 if unknown
 */
public record InstanceSize(double cores, long memoryMb, double linkMbps) {

  /** Size of which nothing is known. */
  public static final InstanceSize UNKNOWN = new InstanceSize(0, 0, 0);
}
