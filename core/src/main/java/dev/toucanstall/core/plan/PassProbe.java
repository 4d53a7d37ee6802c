package dev.toucanstall.core.plan;

/** Told when a part of a decision is over, so that its cost can be measured outside. */
@FunctionalInterface
public interface PassProbe {

  /** Measures nothing. */
  PassProbe NONE = part -> {};

  /** The parts, in order. A decision without a pass has only the first and the last. */
  enum Part {
    /** What the event itself changes. */
    EVENT,
    /** The machines to be maintained. */
    MAINTENANCE,
    /** The backend servers to be emptied. */
    EVACUATION,
    /** The tasks that wait. */
    PLACEMENT,
    /** The machines to be moved. */
    MOVES,
    /** The leases to be renewed. */
    LEASES,
    /** The append. */
    STORING
  }

  /**
   * A part is over.
   *
   * @param part the part
   */
  void done(Part part);
}
