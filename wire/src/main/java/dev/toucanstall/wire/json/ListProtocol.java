package dev.toucanstall.wire.json;

import dev.toucanstall.core.record.Observation;
import java.util.List;

/** Response body of the platform's instance list over HTTP. */
public final class ListProtocol {

  private ListProtocol() {}

  /**
   * List of instances.
   *
   * @param instances the live and the leaving instances
   */
  public record Listed(List<Observation> instances) {

    /** Copies the list. */
    public Listed {
      instances = List.copyOf(instances);
    }
  }
}
