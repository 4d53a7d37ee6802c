package dev.toucanstall.core.state;

import org.pcollections.TreePMap;

/**
 * The latest decisions with their reasons, for operators. Immutable.
 *
 * @param entries retained decisions by number, oldest first
 * @param lastNumber number of the newest decision, 0 if there was none
 */
public record Decisions(TreePMap<Long, Decision> entries, long lastNumber) {

  /** Maximum number of retained decisions; beyond it the oldest is dropped. */
  public static final int MAX_DECISIONS = 2_000;

  /** No decisions. */
  public static final Decisions EMPTY = new Decisions(TreePMap.empty(), 0);

  /**
   * A decision and its reason.
   *
   * @param decidedAt time of the decision, in nanoseconds of the monotonic clock
   * @param subject thing that the decision concerns, such as "instance/a1" or "team/t"
   * @param rule name of the rule that was applied
   * @param offset last folded offset at the time of the decision
   * @param text the decision and its reason, for operators
   */
  public record Decision(long decidedAt, String subject, String rule, long offset, String text) {}

  /**
   * Returns a copy with one decision added.
   *
   * @param decision the decision
   * @return the new decisions
   */
  public Decisions plus(Decision decision) {
    TreePMap<Long, Decision> next = entries.plus(lastNumber + 1, decision);
    return new Decisions(
        next.size() > MAX_DECISIONS ? next.minus(next.firstKey()) : next, lastNumber + 1);
  }
}
