package dev.toucanstall.core.node;

import dev.toucanstall.core.job.Account;
import dev.toucanstall.core.job.Catalog;
import dev.toucanstall.core.job.JobAnswer;
import dev.toucanstall.core.job.JobAnswer.Reason;
import dev.toucanstall.core.job.JobCall;
import dev.toucanstall.core.job.JobRecord;
import dev.toucanstall.core.job.JobSpec;
import dev.toucanstall.core.job.Queue;
import dev.toucanstall.core.job.RecordSize;
import dev.toucanstall.core.plan.Now;
import java.util.Optional;
import java.util.regex.Pattern;

/** Checks the calls of clients, refuses the invalid ones and forwards the others to the planner. */
final class Admission {

  /**
   * Delay before a retry that is advised to clients while there is no planner or no current
   * configuration, in milliseconds.
   */
  static final long RETRY_AFTER_MS = 1_000;

  private static final Pattern JOB_ID = Pattern.compile("[0-9a-f]{16}");

  private Admission() {}

  static void decide(Node node, NodeEvent.Called called, Now now) {
    ClientCall call = called.call();
    if (Stopping.refusesCalls(node, now)) {
      refuse(node, called, Reason.STOPPING, 0);
      return;
    }
    Catalog catalog = node.catalog;
    if (catalog == null || !FreshnessRules.isFresh(node, now)) {
      refuse(node, called, Reason.NOT_FRESH, RETRY_AFTER_MS);
      return;
    }
    Optional<Queue> queue = catalog.findQueue(call.host(), call.path());
    if (queue.isEmpty()) {
      refuse(node, called, Reason.QUEUE_UNKNOWN, 0);
      return;
    }
    Account account = catalog.accountsByKey().get(call.key());
    if (account == null && !queue.get().allowsAnonymous()) {
      refuse(node, called, Reason.KEY_UNKNOWN, 0);
      return;
    }
    String jobId = call.path().substring(queue.get().prefix().length());
    String accountName = account == null ? "" : account.name();
    Optional<JobCall> jobCall = toJobCall(call, queue.get(), accountName, jobId);
    if (jobCall.isEmpty()) {
      refuse(node, called, Reason.MALFORMED, 0);
      return;
    }
    if (jobCall.get() instanceof JobCall.Submit submit && isTooLarge(node, submit, queue.get())) {
      int limitBytes = node.storeLimits.recordBytes();
      node.logEvent(
          "job-too-large", "job", submit.job(), "limit-bytes", Integer.toString(limitBytes));
      node.emit(new NodeEffect.Answer(called.ticket(), new JobAnswer.TooLarge(limitBytes)));
      return;
    }
    Delivery.deliver(node, called.ticket(), jobCall.get(), call.waitMs(), now);
  }

  /** Returns whether the record of a submission may be larger than the store takes. */
  private static boolean isTooLarge(Node node, JobCall.Submit submit, Queue queue) {
    JobRecord.Submitted record =
        new JobRecord.Submitted(
            submit.job(), submit.queue(), queue.service(), submit.account(), 0, submit.spec());
    return RecordSize.maxBytes(record) > node.storeLimits.recordBytes();
  }

  /**
   * Returns the request to the planner, or empty if the call is malformed. An empty {@code jobId}
   * means the queue itself, an empty {@code accountName} an anonymous client.
   */
  private static Optional<JobCall> toJobCall(
      ClientCall call, Queue queue, String accountName, String jobId) {
    JobSpec spec = call.spec();
    if (call.kind() == ClientCall.Kind.SHOW && jobId.isEmpty()) {
      return Optional.of(new JobCall.Count(queue.name()));
    }
    if (!JOB_ID.matcher(jobId).matches()) {
      return Optional.empty();
    }
    return switch (call.kind()) {
      case SHOW -> Optional.of(new JobCall.Show(jobId, queue.name()));
      case CANCEL -> Optional.of(new JobCall.Cancel(jobId, queue.name()));
      case SUBMIT ->
          spec == null
              ? Optional.empty()
              : Optional.of(new JobCall.Submit(jobId, queue.name(), accountName, spec));
    };
  }

  static void refuse(Node node, NodeEvent.Called called, Reason reason, long retryAfterMs) {
    node.logEvent(
        "call-refused",
        "kind",
        called.call().kind().name(),
        "path",
        called.call().path(),
        "reason",
        reason.name(),
        "malformed",
        called.call().bodyError());
    node.emit(new NodeEffect.Answer(called.ticket(), new JobAnswer.Refused(reason, retryAfterMs)));
  }
}
