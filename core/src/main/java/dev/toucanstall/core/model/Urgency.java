package dev.toucanstall.core.model;

/** Urgency class of a request. Constants are metric labels. */
public enum Urgency {
  /** The request starts before batch requests of its team; a person waits for the answer. */
  URGENT,
  /** The request may wait until its deadline is near. */
  BATCH
}
