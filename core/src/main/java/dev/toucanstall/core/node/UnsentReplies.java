package dev.toucanstall.core.node;

import dev.toucanstall.core.node.NodeEffect.PeerReply;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Replies that a full link did not take, by the number of the link, in the order of their failures.
 * The next ping over the link shows that its other end still reads, and the replies are sent again.
 * Ending the link instead would lose all replies on their way, and have all calls repeated at once.
 *
 * <p>A reply over a link that has ended is useless, as its call is repeated over the next link.
 * Owned by the control thread.
 */
final class UnsentReplies {

  /**
   * A reply that was not sent.
   *
   * @param reply the reply
   * @param unsentMs time of the last failure to send it, in milliseconds of the monotonic clock
   */
  private record UnsentReply(PeerReply reply, long unsentMs) {}

  private final Map<Long, List<UnsentReply>> byLink = new LinkedHashMap<>();

  /**
   * Adds a reply that was not sent.
   *
   * @param reply the reply
   * @param nowMs current time, in milliseconds of the monotonic clock
   */
  void add(PeerReply reply, long nowMs) {
    byLink
        .computeIfAbsent(reply.link(), link -> new ArrayList<>())
        .add(new UnsentReply(reply, nowMs));
  }

  /**
   * Removes the replies of a link.
   *
   * @param link number of the link
   * @return the removed replies, in the order in which they were added; empty if there are none
   */
  List<PeerReply> removeAll(long link) {
    List<UnsentReply> unsent = byLink.remove(link);
    return unsent == null ? List.of() : unsent.stream().map(UnsentReply::reply).toList();
  }

  /**
   * Removes the replies whose calls have timed out by now at the other end.
   *
   * @param nowMs current time, in milliseconds of the monotonic clock
   */
  void removeExpired(long nowMs) {
    byLink
        .values()
        .forEach(unsent -> unsent.removeIf(u -> nowMs - u.unsentMs > Delivery.MAX_TIMEOUT_MS));
    byLink.values().removeIf(List::isEmpty);
  }
}
