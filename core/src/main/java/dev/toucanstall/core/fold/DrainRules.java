package dev.toucanstall.core.fold;

import dev.toucanstall.core.record.DrainReason;
import java.util.Optional;

/** The rules of drains for those who plan them. Stateless and thread-safe. */
public final class DrainRules {

  private DrainRules() {}

  /**
   * Says why the fold would refuse to drain an instance now.
   *
   * @param state the folded state
   * @param instance the instance
   * @param reason why it is to be drained
   * @return one sentence, or empty if the drain would be accepted
   */
  public static Optional<String> refusalReason(
      AppliedState state, FleetInstance instance, DrainReason reason) {
    return instance.phase().takesWork()
        ? FleetFold.drainProblem(state, instance, reason)
        : Optional.of("instance \"%s\" does not serve".formatted(instance.id()));
  }
}
