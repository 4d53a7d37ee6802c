package dev.toucanstall.core.reduce;

import java.util.function.Supplier;

/** Checks invariants inside the reducer, in production and in tests. Each invariant has a name. */
public final class Invariants {

  private Invariants() {}

  /** Thrown when an event would break an invariant. The event then has no effect. */
  public static final class Violation extends IllegalStateException {

    private static final long serialVersionUID = 1L;

    Violation(String name, String detail) {
      super("invariant \"%s\" would be violated: %s".formatted(name, detail));
    }
  }

  /**
   * Checks an invariant.
   *
   * @param condition whether the invariant holds
   * @param name name of the invariant
   * @param detail description of the violation, evaluated only if the invariant does not hold
   * @throws Violation if the invariant does not hold
   */
  static void check(boolean condition, String name, Supplier<String> detail) {
    if (!condition) {
      throw new Violation(name, detail.get());
    }
  }
}
