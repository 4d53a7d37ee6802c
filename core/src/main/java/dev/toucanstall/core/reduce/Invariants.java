package dev.toucanstall.core.reduce;

import java.util.function.Supplier;

/**
 * Asserts promises inside the reducer, in production as in tests. Each check is named after the
 * promise that it guards.
 */
public final class Invariants {

  private Invariants() {}

  /** Thrown when a promise would be broken; the event that would break it has no effect. */
  public static final class Violation extends IllegalStateException {

    private static final long serialVersionUID = 1L;

    Violation(String promise, String detail) {
      super("promise \"%s\" would be broken: %s".formatted(promise, detail));
    }
  }

  /**
   * Asserts a promise.
   *
   * @param holds whether it holds
   * @param promise its name
   * @param detail what would break it, asked for only if it does not hold
   * @throws Violation if it does not hold
   */
  static void check(boolean holds, String promise, Supplier<String> detail) {
    if (!holds) {
      throw new Violation(promise, detail.get());
    }
  }
}
