package dev.toucanstall.core.plan;

/** What became of an order to maintain a machine. */
public enum MaintainResult {
  /** The maintenance has begun, or had before. */
  BEGUN,
  /** The machine is not in service at present. */
  BUSY,
  /** The machine does not exist or is not of this wave. */
  NOT_OURS,
  /** A higher fencing token was used for the machine. */
  FENCED,
  /** Nothing was done. */
  NOT_DONE,
  /** It may have begun, or may yet. */
  MAYBE
}
