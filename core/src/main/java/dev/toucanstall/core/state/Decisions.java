package dev.toucanstall.core.state;

import org.pcollections.TreePMap;

/**
 * The last decisions, for operators who ask why.
 *
 * @param kept the decisions by number
 * @param last the number of the newest
 */
public record Decisions(TreePMap<Long, Decision> kept, long last) {

  /** Most decisions kept. */
  public static final int MAX_KEPT = 2_000;

  /** No decisions. */
  public static final Decisions EMPTY = new Decisions(TreePMap.empty(), 0);

  /**
   * One decision.
   *
   * @param at when it was made
   * @param subject what it is about
   * @param rule the rule that it followed
   * @param offset the offset that was folded when it was made
   * @param text what was decided and why
   */
  public record Decision(long at, String subject, String rule, long offset, String text) {}

  /**
   * Returns the decisions with one added.
   *
   * @param decision the decision
   * @return the new decisions
   */
  public Decisions plus(Decision decision) {
    TreePMap<Long, Decision> next = kept.plus(last + 1, decision);
    return new Decisions(next.size() > MAX_KEPT ? next.minus(next.firstKey()) : next, last + 1);
  }
}
