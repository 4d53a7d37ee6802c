package dev.toucanstall.core.state;

import org.pcollections.TreePMap;

/**
 * The last decisions, for operators who ask why.
 *
 * @param entries the decisions by number
 * @param lastNumber the number of the newest
 */
public record Decisions(TreePMap<Long, Decision> entries, long lastNumber) {

  /** Most decisions kept. */
  public static final int MAX_DECISIONS = 2_000;

  /** No decisions. */
  public static final Decisions EMPTY = new Decisions(TreePMap.empty(), 0);

  /**
   * One decision.
   *
   * @param decidedAt when it was made
   * @param subject what it is about
   * @param rule the rule that it followed
   * @param offset the offset that was folded when it was made
   * @param text what was decided and why
   */
  public record Decision(long decidedAt, String subject, String rule, long offset, String text) {}

  /**
   * Returns the decisions with one added.
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
