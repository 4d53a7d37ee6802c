package dev.toucanstall.core.record;

/** What is known of whether an instance works. */
public enum Condition {
  /** Listed as live, and its backend server answers. */
  UP,
  /** Announced by the platform to go away soon. */
  LEAVING,
  /** Not listed for long, or its backend server fails what it starts. */
  DOWN
}
