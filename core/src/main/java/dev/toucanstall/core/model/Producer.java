package dev.toucanstall.core.model;

/**
 * Writer of records of the log. Immutable.
 *
 * @param name name of the entry instance, or id of an operator's change
 * @param incarnation number of the start of the writing process; a later start has a higher number
 */
public record Producer(String name, long incarnation) {

  /**
   * Creates the producer.
   *
   * @throws IllegalArgumentException if the name is malformed
   */
  public Producer {
    Names.requireName("producer", name);
  }
}
