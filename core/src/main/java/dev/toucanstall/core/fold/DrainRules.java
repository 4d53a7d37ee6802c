package dev.toucanstall.core.fold;

import dev.toucanstall.core.record.DrainReason;
import java.util.Optional;

/** Rules of the fold for drains, for planners that propose them. Stateless and thread-safe. */
public final class DrainRules {

  private DrainRules() {}

  /**
   * Returns the reason for which the fold would refuse to drain an instance now.
   *
   * @param state the state folded so far
   * @param instance the instance
   * @param reason reason of the drain
   * @return one sentence, empty if the drain would be accepted
   */
  public static Optional<String> refusalReason(
      AppliedState state, FleetInstance instance, DrainReason reason) {
    return instance.phase().takesWork()
        ? FleetFold.drainRefusal(state, instance, reason)
        : Optional.of("instance \"%s\" does not serve".formatted(instance.id()));
  }
}
