package dev.toucanstall.core.node;

import dev.toucanstall.core.plan.Plan;
import org.jspecify.annotations.Nullable;

/** Gives tests in other packages access to the internal state of an entry instance. */
public final class NodeInternals {

  private NodeInternals() {}

  /**
   * Returns the planner's state.
   *
   * @param node the state of an entry instance
   * @return the planner's state, null if the entry instance is not the planner
   */
  public static @Nullable Plan planOf(Node node) {
    return node.plan;
  }
}
