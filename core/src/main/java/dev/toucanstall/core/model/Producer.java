package dev.toucanstall.core.model;

/**
 * Who writes a record into the log.
 *
 * @param name the entry instance, or the id of an operator's change
 * @param incarnation which start of the producer wrote it, later starts have higher numbers
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
