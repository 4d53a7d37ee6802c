package dev.toucanstall.core.node;

import dev.toucanstall.core.plan.Plan;
import org.jspecify.annotations.Nullable;

/** Lets models in other packages look into an entry instance. */
public final class NodeInternals {

  private NodeInternals() {}

  /**
   * Returns the plan of an entry instance.
   *
   * @param node the entry instance
   * @return its plan, null if it does not plan
   */
  public static @Nullable Plan planOf(Node node) {
    return node.plan;
  }
}
