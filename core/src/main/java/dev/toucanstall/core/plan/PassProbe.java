package dev.toucanstall.core.plan;

/**
 * Listener that is called when a part of a decision has ended, so that a caller can measure the
 * parts.
 */
@FunctionalInterface
public interface PassProbe {

  /** Probe that measures nothing. */
  PassProbe NONE = part -> {};

  /**
   * Parts of a decision, in order. A decision without a placement pass has only the first and the
   * last.
   */
  enum Part {
    /** Handling of the event itself. */
    EVENT,
    /** Choice of the machines to maintain. */
    MAINTENANCE,
    /** Choice of the tasks to stop on backend servers that are being emptied. */
    EVACUATION,
    /** Placement of the waiting tasks. */
    PLACEMENT,
    /** Choice of the machines to move between pools. */
    MOVES,
    /** Renewal of the leases. */
    LEASES,
    /** Preparation of the append. */
    STORING
  }

  /**
   * Called when a part has ended.
   *
   * @param part the part
   */
  void done(Part part);
}
