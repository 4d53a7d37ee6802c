package dev.toucanstall.core.record;

/**
 * Condition of an instance by the platform's list and health checks. Encoded as the name of the
 * constant.
 */
public enum Condition {
  /** The instance is listed, and its backend server answers. */
  UP,
  /** The platform has announced that the instance ends soon. */
  LEAVING,
  /** The instance has not been listed for some time, or its backend server fails requests. */
  DOWN
}
