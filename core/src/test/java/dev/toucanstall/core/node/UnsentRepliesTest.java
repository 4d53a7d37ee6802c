package dev.toucanstall.core.node;

import static com.google.common.truth.Truth.assertThat;

import dev.toucanstall.core.job.JobAnswer;
import dev.toucanstall.core.node.NodeEffect.PeerReply;
import org.junit.jupiter.api.Test;

final class UnsentRepliesTest {

  private final UnsentReplies unsentReplies = new UnsentReplies();

  private static PeerReply reply(long link, long number) {
    return new NodeEffect.AnswerPeer(link, number, new JobAnswer.Accepted());
  }

  @Test
  void repliesOfLinkAreReturnedOnceInOrder() {
    unsentReplies.add(reply(1, 7), 0);
    unsentReplies.add(reply(2, 5), 0);
    unsentReplies.add(reply(1, 6), 10);
    assertThat(unsentReplies.removeAll(1)).containsExactly(reply(1, 7), reply(1, 6)).inOrder();
    assertThat(unsentReplies.removeAll(1)).isEmpty();
    assertThat(unsentReplies.removeAll(2)).containsExactly(reply(2, 5));
  }

  @Test
  void unknownLinkHasNoReplies() {
    assertThat(unsentReplies.removeAll(3)).isEmpty();
  }

  /** Guards against replies of ended links that are kept for ever. */
  @Test
  void repliesAreForgottenOnceTheirCallsHaveTimedOut() {
    unsentReplies.add(reply(1, 1), 0);
    unsentReplies.add(reply(1, 2), 1);
    unsentReplies.removeExpired(Delivery.MAX_TIMEOUT_MS + 1);
    assertThat(unsentReplies.removeAll(1)).containsExactly(reply(1, 2));
  }
}
