package dev.toucanstall.core.plan;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Incarnations under each id of a backend server that a planner has learned of during its term,
 * also of backend servers that it has forgotten since. Owned by the control thread.
 *
 * <p>Incarnations are told apart by their start times. The order of two start times proves nothing,
 * as the clock that they are taken from may be set back.
 */
final class IncarnationHistory {

  /** Most ids that are remembered; those that were seen last stay. */
  private static final int MAX_IDS = 20_000;

  /** Most former incarnations of one id that are recognized. */
  private static final int MAX_FORMER = 16;

  /** The incarnations under one id. */
  private static final class Incarnations {

    private long currentStartMs;
    private int formerCount;
    private final Deque<Long> formerStartsMs = new ArrayDeque<>();

    private Incarnations(long startMs) {
      this.currentStartMs = startMs;
    }

    private void replaceCurrent(long startMs) {
      formerStartsMs.addLast(currentStartMs);
      if (formerStartsMs.size() > MAX_FORMER) {
        formerStartsMs.removeFirst();
      }
      formerCount++;
      currentStartMs = startMs;
    }
  }

  private final Map<String, Incarnations> byId =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Incarnations> eldest) {
          return size() > MAX_IDS;
        }
      };

  /**
   * Records the current incarnation under an id.
   *
   * @param id id of the backend server
   * @param startMs start time of the incarnation, in Unix milliseconds
   * @return number of other incarnations under the id before it
   */
  int record(String id, long startMs) {
    Incarnations known = byId.computeIfAbsent(id, i -> new Incarnations(startMs));
    if (known.currentStartMs != startMs) {
      known.replaceCurrent(startMs);
    }
    return known.formerCount;
  }

  /** Returns whether an incarnation was replaced by another one under the same id. */
  boolean isFormer(String id, long startMs) {
    Incarnations known = byId.get(id);
    return known != null
        && known.currentStartMs != startMs
        && known.formerStartsMs.contains(startMs);
  }
}
