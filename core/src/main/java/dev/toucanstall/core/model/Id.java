package dev.toucanstall.core.model;

/** A name with a type. Every implementation is an immutable record whose value is checked. */
public interface Id {

  /**
   * Returns the text of the name.
   *
   * @return the text, never empty
   */
  String value();
}
