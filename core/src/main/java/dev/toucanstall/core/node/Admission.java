package dev.toucanstall.core.node;

import dev.toucanstall.core.job.Account;
import dev.toucanstall.core.job.Catalog;
import dev.toucanstall.core.job.JobAnswer;
import dev.toucanstall.core.job.JobAnswer.Reason;
import dev.toucanstall.core.job.JobCall;
import dev.toucanstall.core.job.JobSpec;
import dev.toucanstall.core.job.Queue;
import dev.toucanstall.core.plan.Now;
import java.util.Optional;
import java.util.regex.Pattern;

/** Decides which calls of clients go to the planner. */
final class Admission {

  /** When to come back after a refusal for want of a planner or configuration, milliseconds. */
  static final long RETRY_AFTER_MS = 1_000;

  private static final Pattern JOB_ID = Pattern.compile("[0-9a-f]{16}");

  private Admission() {}

  static void decide(Node node, NodeEvent.Called called, Now now) {
    ClientCall call = called.call();
    if (Stopping.refuses(node, now)) {
      refuse(node, called, Reason.STOPPING, 0);
      return;
    }
    Catalog catalog = node.catalog;
    if (catalog == null || !FreshnessRules.fresh(node, now)) {
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
    String job = call.path().substring(queue.get().prefix().length());
    String name = account == null ? "" : account.name();
    Optional<JobCall> checked = check(call, queue.get(), name, job);
    if (checked.isEmpty()) {
      refuse(node, called, Reason.MALFORMED, 0);
      return;
    }
    Delivery.deliver(node, called.ticket(), checked.get(), call.waitMs(), now);
  }

  private static Optional<JobCall> check(ClientCall call, Queue queue, String account, String job) {
    JobSpec spec = call.spec();
    if (call.kind() == ClientCall.Kind.SHOW && job.isEmpty()) {
      return Optional.of(new JobCall.Count(queue.name()));
    }
    if (!JOB_ID.matcher(job).matches()) {
      return Optional.empty();
    }
    return switch (call.kind()) {
      case SHOW -> Optional.of(new JobCall.Show(job, queue.name()));
      case CANCEL -> Optional.of(new JobCall.Cancel(job, queue.name()));
      case SUBMIT ->
          spec == null
              ? Optional.empty()
              : Optional.of(new JobCall.Submit(job, queue.name(), account, spec));
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
