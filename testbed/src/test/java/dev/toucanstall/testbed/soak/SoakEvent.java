package dev.toucanstall.testbed.soak;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;

/**
 * Event of the soak's stand-ins. {@code at} is the time of the event in milliseconds since the
 * start of the soak; {@code handle} identifies the HTTP request that waits for a reply; {@code
 * entry} is the number of the entry instance, from 0.
 */
sealed interface SoakEvent {

  /** Periodic tick. */
  record Tick(long at) implements SoakEvent {}

  /** Call to the store or to the list of machines. */
  record StoreCall(
      long at, long handle, int entry, String path, Map<String, String> query, byte[] body)
      implements SoakEvent {}

  /**
   * Order to a backend server.
   *
   * @param server number of the backend server, from 0
   * @param expectedId value of Expect-Instance, empty if absent
   * @param heldBorn start of the incarnation at which it was held up, 0 if it was not; the sender
   *     of an order that was held up gets no reply
   */
  record Order(
      long at,
      long handle,
      int entry,
      int server,
      String path,
      String expectedId,
      JsonNode body,
      long heldBorn)
      implements SoakEvent {

    Order heldUp(long until, long born) {
      return new Order(until, handle, entry, server, path, expectedId, body, born);
    }

    boolean late() {
      return heldBorn != 0;
    }
  }

  /** A fault begins. */
  record FaultBegins(long at, Fault fault) implements SoakEvent {}

  /** One cut of a link ends. */
  record CutEnds(int entry, int target, LinkMode mode) implements SoakEvent {}

  /** A backend server that ended starts again, under its id or as a new one. */
  record ServerStarts(long at, int server, boolean sameId, LinkMode downMode)
      implements SoakEvent {}

  /** A client sends a job for the first time. */
  record JobSent(long at, SoakJob job) implements SoakEvent {}

  /** A client's submission was answered; status 0 for none. */
  record JobAnswered(long at, String job, int status) implements SoakEvent {}

  /** A job's state was answered; status 0 for no answer. */
  record StateAnswered(long at, String job, int status, String state) implements SoakEvent {}

  /** All faults end: links pass, stopped backend servers start, the store serves everyone. */
  record FaultsEnd(long at) implements SoakEvent {}

  /** Request for what is still expected to complete or to be at work. */
  record ShowOpen(long at, long handle) implements SoakEvent {}

  /** Request for the final checks. */
  record FinalChecks(long at, long handle) implements SoakEvent {}
}
