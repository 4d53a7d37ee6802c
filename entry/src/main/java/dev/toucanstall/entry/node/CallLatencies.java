package dev.toucanstall.entry.node;

import dev.toucanstall.core.job.JobAnswer;
import dev.toucanstall.core.node.NodeEffect;
import dev.toucanstall.core.node.NodeEvent;
import dev.toucanstall.runtime.meter.KindMeters;
import dev.toucanstall.runtime.meter.TimeMeter;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Measures calls of clients to their answer, by outcome, and questions to the planner to its reply.
 * Written by the control thread; the meters may be read by any.
 */
final class CallLatencies {

  /** Most questions that are remembered; older ones have no reply. */
  private static final int MAX_PENDING_REQUESTS = 20_000;

  private final KindMeters clientCalls = new KindMeters();
  private final TimeMeter plannerReplies = new TimeMeter();
  private final Map<Long, Long> callStartNanos = new ConcurrentHashMap<>();
  private final Map<Long, Long> requestStartNanos = new BoundedMap();

  /** Times by ticket, of the newest tickets. */
  private static final class BoundedMap extends LinkedHashMap<Long, Long> {
    private static final long serialVersionUID = 1;

    @Override
    protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
      return size() > MAX_PENDING_REQUESTS;
    }
  }

  /** Takes note of a call of a client that arrived; thread-safe. */
  void callArrived(long ticket, long nowNanos) {
    callStartNanos.put(ticket, nowNanos);
  }

  /** Takes note of an event once it was handled; a reply that comes too late counts too. */
  void eventHandled(NodeEvent event, long postedNanos) {
    if (event instanceof NodeEvent.PeerAnswered answered) {
      Long startNanos = requestStartNanos.remove(answered.ticket());
      if (startNanos != null) {
        plannerReplies.record(postedNanos - startNanos);
      }
    }
  }

  /** Takes note of an effect that is handed over. */
  void effectDispatched(NodeEffect effect, long nowNanos) {
    switch (effect) {
      case NodeEffect.AskPeer request -> requestStartNanos.put(request.ticket(), nowNanos);
      case NodeEffect.Answer answer -> {
        Long startNanos = callStartNanos.remove(answer.ticket());
        if (startNanos != null) {
          clientCalls.record(outcome(answer.answer()), nowNanos - startNanos);
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
  KindMeters clientCalls() {
    return clientCalls;
  }

  /** Returns how long the planner took to reply. */
  TimeMeter plannerReplies() {
    return plannerReplies;
  }
}
