package dev.toucanstall.core.peer;

/** Answer of a claim replica to the claim of a request id. Encoded as the name of the constant. */
public enum ClaimVote {
  /** The id was not claimed, or by the same submission; the claim is recorded. */
  GRANTED,
  /** The id is claimed by another submission. */
  TAKEN,
  /** The replica may lack earlier claims, since it has started recently or is not a member. */
  UNSURE
}
