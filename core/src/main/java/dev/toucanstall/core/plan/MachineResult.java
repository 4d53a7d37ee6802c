package dev.toucanstall.core.plan;

/** Result of an order to maintain or move a machine. */
public enum MachineResult {
  /** The order has begun to be carried out, now or earlier. */
  BEGUN,
  /** The machine is not in service at present. */
  BUSY,
  /** The machine does not exist, is not part of this wave or does not fit the pool. */
  UNFIT,
  /** The machine has already seen a higher fencing token. */
  FENCED,
  /** The order had no effect. */
  NOT_DONE,
  /** The order may have begun, or may yet begin. */
  MAYBE
}
