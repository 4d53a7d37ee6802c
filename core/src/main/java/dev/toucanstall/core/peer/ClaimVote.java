package dev.toucanstall.core.peer;

/** What a keeper of claims says of a request id. */
public enum ClaimVote {
  /** The id was free and is now claimed. */
  GRANTED,
  /** The id was claimed by another submission. */
  TAKEN,
  /** The keeper started too recently to know. */
  UNSURE
}
