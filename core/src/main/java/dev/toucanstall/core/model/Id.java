package dev.toucanstall.core.model;

/** A typed name. Implementations are immutable records that validate their value. */
public interface Id {

  /**
   * Returns the text of the name.
   *
   * @return the text, never empty
   */
  String value();
}
