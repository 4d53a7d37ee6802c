package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.JobRecord;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Stores changes of jobs in groups, one append at a time, and holds back what relies on them until
 * they are stored. Owned by the control thread.
 */
final class Ledger {

  /** Pause before an append that failed is sent again, in milliseconds. */
  private static final long RETRY_MS = 100;

  /** An append that takes longer means that the store is out, in milliseconds. */
  private static final long STUCK_MS = 700;

  /** An idle planner confirms its fencing token this often, in milliseconds. */
  private static final long CONFIRM_MS = 700;

  /** Shortest time between two appends, in milliseconds, so that changes share them. */
  private static final long GAP_MS = 8;

  /** What waits for a change to be stored. */
  @FunctionalInterface
  interface AfterStore {

    /** Goes on once the change is stored. */
    void proceed(Now now, Consumer<PlanEffect> out);
  }

  private record Flight(
      long sequence, List<JobRecord> records, List<AfterStore> after, long firstSentMs) {}

  private final long epoch;
  private final Set<Job> submitted = new LinkedHashSet<>();
  private final Set<Job> changed = new LinkedHashSet<>();
  private final List<JobRecord> others = new ArrayList<>();
  private List<AfterStore> waiting = new ArrayList<>();
  private @Nullable Flight flight;
  private long nextSequence;
  private long retryAtMs;
  private long lastSentMs;
  private long confirmedMs;

  Ledger(long epoch, long firstSequence, long nowMs) {
    this.epoch = epoch;
    this.nextSequence = firstSequence;
    this.confirmedMs = nowMs;
    this.lastSentMs = nowMs;
  }

  void submitted(Job job) {
    submitted.add(job);
  }

  void changed(Job job) {
    changed.add(job);
  }

  void other(JobRecord record) {
    others.add(record);
  }

  /** Does something once all changes so far are stored. */
  void afterStore(AfterStore step) {
    waiting.add(step);
  }

  /** Takes a submission back that no append has carried. */
  boolean withdraw(Job job) {
    changed.remove(job);
    return submitted.remove(job);
  }

  Set<Job> unsent() {
    return submitted;
  }

  /** When the store last confirmed the fencing token; counts from the question. */
  long confirmedMs() {
    return confirmedMs;
  }

  /** Forgets that the store has confirmed the fencing token, so that it is asked at once. */
  void doubtTerm() {
    confirmedMs = Long.MIN_VALUE / 2;
    lastSentMs = Long.MIN_VALUE / 2;
  }

  boolean stuck(Now now) {
    Flight current = flight;
    return current != null && now.steadyMs() - current.firstSentMs > STUCK_MS;
  }

  void appended(PlanEvent.Appended event, Now now, Consumer<PlanEffect> out) {
    Flight current = flight;
    if (current == null || current.sequence != event.sequence()) {
      return;
    }
    switch (event.result()) {
      case DONE -> {
        flight = null;
        confirmedMs = Math.max(confirmedMs, event.sentMs());
        current.after.forEach(step -> step.proceed(now, out));
      }
      case FENCED -> out.accept(new PlanEffect.Resign("the store refused the fencing token"));
      default -> retryAtMs = now.steadyMs() + RETRY_MS;
    }
  }

  /** Sends what is due. */
  void flush(Now now, Consumer<PlanEffect> out) {
    Flight current = flight;
    if (current != null) {
      resend(current, now, out);
      return;
    }
    if (submitted.isEmpty() && changed.isEmpty() && others.isEmpty()) {
      List<AfterStore> ready = waiting;
      waiting = new ArrayList<>();
      ready.forEach(step -> step.proceed(now, out));
      if (now.steadyMs() - lastSentMs >= CONFIRM_MS) {
        send(new Flight(nextSequence, List.of(), List.of(), now.steadyMs()), now, out);
      }
      return;
    }
    if (now.steadyMs() - lastSentMs >= GAP_MS) {
      send(new Flight(nextSequence++, records(), waiting, now.steadyMs()), now, out);
      waiting = new ArrayList<>();
    }
  }

  private void resend(Flight current, Now now, Consumer<PlanEffect> out) {
    if (retryAtMs > 0 && now.steadyMs() >= retryAtMs) {
      retryAtMs = 0;
      out.accept(new PlanEffect.Append(epoch, current.sequence, current.records));
    }
  }

  private void send(Flight next, Now now, Consumer<PlanEffect> out) {
    flight = next;
    retryAtMs = 0;
    lastSentMs = now.steadyMs();
    out.accept(new PlanEffect.Append(epoch, next.sequence, next.records));
  }

  private List<JobRecord> records() {
    List<JobRecord> records = new ArrayList<>(others);
    others.clear();
    submitted.forEach(job -> records.add(job.submitted()));
    submitted.clear();
    changed.forEach(job -> records.add(job.record()));
    changed.clear();
    return records;
  }
}
