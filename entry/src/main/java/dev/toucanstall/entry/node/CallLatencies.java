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
 * Measures the time from a client's call to its answer, by outcome, and from a request to the
 * planner to its reply. All methods that record but {@link #callArrived} are for the control
 * thread; any thread may read the histograms.
 */
final class CallLatencies {

  /** Maximum number of tracked requests to the planner; the oldest are dropped unmeasured. */
  private static final int MAX_PENDING_REQUESTS = 20_000;

  private final HistogramsByKind clientCalls = new HistogramsByKind();
  private final DurationHistogram plannerReplies = new DurationHistogram();
  private final Map<Long, Long> callStartNanos = new ConcurrentHashMap<>();
  private final Map<Long, Long> requestStartNanos = new BoundedMap();

  /** Start times by ticket, limited to the newest tickets. */
  private static final class BoundedMap extends LinkedHashMap<Long, Long> {
    private static final long serialVersionUID = 1;

    @Override
    protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
      return size() > MAX_PENDING_REQUESTS;
    }
  }

  /** Starts to measure a call of a client. Thread-safe. */
  void callArrived(long ticket, long nowNanos) {
    callStartNanos.put(ticket, nowNanos);
  }

  /** Records the time of a planner's reply, also if it came after the call's deadline. */
  void eventHandled(NodeEvent event, long postedNanos) {
    if (event instanceof NodeEvent.PeerAnswered answered) {
      Long startNanos = requestStartNanos.remove(answered.ticket());
      if (startNanos != null) {
        plannerReplies.record(postedNanos - startNanos);
      }
    }
  }

  /** Starts to measure a request to the planner, or records the time of a client's call. */
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

  /** Returns the times from the arrival of a call to its answer, by outcome. */
  HistogramsByKind clientCalls() {
    return clientCalls;
  }

  /** Returns the times from a request to the planner to its reply. */
  DurationHistogram plannerReplies() {
    return plannerReplies;
  }
}
