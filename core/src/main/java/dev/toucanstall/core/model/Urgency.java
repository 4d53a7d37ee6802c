package dev.toucanstall.core.model;

/** How soon a request wants to start. */
public enum Urgency {
  /** Starts ahead of batch work; a person waits for the answer. */
  URGENT,
  /** May wait until its due time comes near. */
  BATCH
}
