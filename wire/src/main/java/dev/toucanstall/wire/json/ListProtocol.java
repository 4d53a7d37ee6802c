package dev.toucanstall.wire.json;

import dev.toucanstall.core.record.Observation;
import java.util.List;

/** The body of the platform's instance list over HTTP. */
public final class ListProtocol {

  private ListProtocol() {}

  /**
   * The list of live and leaving instances.
   *
   * @param instances the instances
   */
  public record Listed(List<Observation> instances) {

    /** Creates the list. */
    public Listed {
      instances = List.copyOf(instances);
    }
  }
}
