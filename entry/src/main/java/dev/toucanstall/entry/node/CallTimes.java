package dev.toucanstall.entry.node;

import dev.toucanstall.core.job.JobAnswer;
import dev.toucanstall.core.node.NodeEffect;
import dev.toucanstall.core.node.NodeEvent;
import dev.toucanstall.runtime.meter.DurationHistogram;
import dev.toucanstall.runtime.meter.HistogramsByKind;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Measures calls of clients to their answer, by outcome, and questions to the planner to its reply.
 * Written by the control thread; the meters may be read by any.
 */
final class CallTimes {

  /** Most questions that are remembered; older ones have no reply. */
  private static final int MAX_ASKED = 20_000;

  private final HistogramsByKind calls = new HistogramsByKind();
  private final DurationHistogram replies = new DurationHistogram();
  private final Map<Long, Long> called = new ConcurrentHashMap<>();
  private final Map<Long, Long> asked = new Bounded();

  /** Times by ticket, of the newest tickets. */
  private static final class Bounded extends LinkedHashMap<Long, Long> {
    private static final long serialVersionUID = 1;

    @Override
    protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
      return size() > MAX_ASKED;
    }
  }

  /** Takes note of a call of a client that arrived; thread-safe. */
  void began(long ticket, long nanos) {
    called.put(ticket, nanos);
  }

  /** Takes note of an event once it was handled; a reply that comes too late counts too. */
  void took(NodeEvent event, long postedNanos) {
    if (event instanceof NodeEvent.PeerAnswered answered) {
      Long since = asked.remove(answered.ticket());
      if (since != null) {
        replies.record(postedNanos - since);
      }
    }
  }

  /** Takes note of an effect that is handed over. */
  void gave(NodeEffect effect, long nanos) {
    switch (effect) {
      case NodeEffect.AskPeer ask -> asked.put(ask.ticket(), nanos);
      case NodeEffect.Answer answer -> {
        Long since = called.remove(answer.ticket());
        if (since != null) {
          calls.record(outcome(answer.answer()), nanos - since);
        }
      }
      default -> {}
    }
  }

  private static String outcome(JobAnswer answer) {
    return answer instanceof JobAnswer.Refused refused
        ? refused.reason().name()
        : answer.getClass().getSimpleName();
  }

  /** Returns how long calls took from their arrival to their answer, by outcome. */
  HistogramsByKind calls() {
    return calls;
  }

  /** Returns how long the planner took to reply. */
  DurationHistogram replies() {
    return replies;
  }
}
