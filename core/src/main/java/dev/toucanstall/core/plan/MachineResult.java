package dev.toucanstall.core.plan;

/** What became of an order to maintain or move a machine. */
public enum MachineResult {
  /** It has begun, or had before. */
  BEGUN,
  /** The machine is not in service at present. */
  BUSY,
  /** The machine does not exist, is not of this wave or does not fit the pool. */
  UNFIT,
  /** A higher fencing token was used for the machine. */
  FENCED,
  /** Nothing was done. */
  NOT_DONE,
  /** It may have begun, or may yet. */
  MAYBE
}
