package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.Account;
import dev.toucanstall.core.job.JobAnswer;
import dev.toucanstall.core.job.JobAnswer.Reason;
import dev.toucanstall.core.job.JobCall;
import dev.toucanstall.core.job.JobPhase;
import dev.toucanstall.core.job.JobRecord;
import dev.toucanstall.core.job.Queue;
import dev.toucanstall.core.job.StepSpec;
import dev.toucanstall.core.job.TaskPhase;
import java.util.List;

/** Decides on the calls of client accounts. */
final class CallRules {

  /** When to come back after a refusal while the store is out, in milliseconds. */
  static final long RETRY_AFTER_MS = 1_000;

  private CallRules() {}

  static void decide(Plan plan, PlanEvent.Called called, Now now) {
    long ticket = called.ticket();
    switch (called.call()) {
      case JobCall.Submit submit -> submit(plan, ticket, submit, now);
      case JobCall.Show show -> show(plan, ticket, show);
      case JobCall.Cancel cancel -> cancel(plan, ticket, cancel, now);
      case JobCall.Count count ->
          answer(plan, ticket, new JobAnswer.Counted(waiting(plan, count.queue())));
    }
  }

  private static void submit(Plan plan, long ticket, JobCall.Submit submit, Now now) {
    Job known = plan.jobs.get(submit.job());
    if (known != null) {
      acceptOnceStored(plan, ticket, known);
      return;
    }
    Queue queue = plan.catalog.queuesByName().get(submit.queue());
    if (queue == null || plan.ledger.stuck(now)) {
      answer(plan, ticket, new JobAnswer.Refused(Reason.NO_PLANNER, RETRY_AFTER_MS));
      return;
    }
    Job job =
        new Job(
            plan,
            new JobRecord.Submitted(
                submit.job(),
                submit.queue(),
                queue.service(),
                submit.account(),
                now.wallMs(),
                submit.spec()));
    JobRules.add(plan, job);
    Account account = plan.catalog.accountsByName().get(job.account);
    if (account != null && !job.spec.lasting()) {
      job.beyondShare = !plan.shares.take(job.account, account.weight(), now.steadyMs());
    }
    if (!job.beyondShare) {
      ResourceAmount work = JobRules.work(plan, job);
      plan.arrivals.add(job.service, work, JobRules.chainMs(plan, job), now.steadyMs());
    }
    plan.ledger.submitted(job);
    acceptOnceStored(plan, ticket, job);
    noteAccepted(plan, job, now);
  }

  private static void noteAccepted(Plan plan, Job job, Now now) {
    StepSpec first = job.spec.steps().getFirst();
    plan.logEvent(
        "job-accepted",
        "job",
        job.id,
        "queue",
        job.queue,
        "account",
        job.account,
        "tasks",
        Long.toString(job.tasks().count()),
        "cpu",
        Long.toString(first.need().cpu()),
        "memory",
        Long.toString(first.need().memory()),
        "kind",
        first.fills() ? "filling" : first.lasting() ? "lasting" : "short",
        "per-server",
        Integer.toString(first.perServer()),
        "beyond-share",
        Boolean.toString(job.beyondShare),
        "objective-in-ms",
        Long.toString(job.objectiveMs - now.wallMs()));
  }

  private static void show(Plan plan, long ticket, JobCall.Show show) {
    Job job = plan.jobs.get(show.job());
    if (job == null || !job.queue.equals(show.queue())) {
      answerOnceStored(plan, ticket, new JobAnswer.Absent());
    } else {
      answerOnceStored(plan, ticket, new JobAnswer.Shown(job.phase));
    }
  }

  private static void cancel(Plan plan, long ticket, JobCall.Cancel cancel, Now now) {
    Job job = plan.jobs.get(cancel.job());
    if (job == null || !job.queue.equals(cancel.queue())) {
      answerOnceStored(plan, ticket, new JobAnswer.Absent());
      return;
    }
    if (!job.phase.ended()) {
      plan.logEvent("job-cancelled", "job", job.id);
      JobRules.end(plan, job, JobPhase.CANCELLED, now);
    }
    answerOnceStored(plan, ticket, new JobAnswer.Cancelled());
  }

  private static int waiting(Plan plan, String queue) {
    return (int)
        plan.openByService.values().stream()
            .flatMap(jobs -> jobs.stream())
            .filter(job -> job.queue.equals(queue) && job.phase == JobPhase.PENDING)
            .filter(job -> !job.spec.hasStartTime())
            .count();
  }

  private static void answer(Plan plan, long ticket, JobAnswer answer) {
    plan.emit(new PlanEffect.Answer(ticket, answer));
  }

  private static void acceptOnceStored(Plan plan, long ticket, Job job) {
    job.submissions.add(ticket);
    plan.ledger.afterStore(
        (now, out) -> {
          if (!job.withdrawn) {
            out.accept(new PlanEffect.Answer(ticket, new JobAnswer.Accepted()));
          }
        });
  }

  private static void answerOnceStored(Plan plan, long ticket, JobAnswer answer) {
    plan.ledger.afterStore((now, out) -> out.accept(new PlanEffect.Answer(ticket, answer)));
  }

  /** Refuses the submissions that no append has carried while the store is out. */
  static void refuseUnsent(Plan plan, Now now) {
    if (!plan.ledger.stuck(now)) {
      return;
    }
    for (Job job : List.copyOf(plan.ledger.unsent())) {
      plan.ledger.withdraw(job);
      job.tasks().forEach(Task::unbind);
      job.tasks().forEach(t -> t.turn(TaskPhase.DROPPED));
      plan.close(job);
      plan.jobs.remove(job.id);
      job.withdrawn = true;
      plan.logEvent("job-refused", "job", job.id, "why", "the store takes no records");
      job.submissions.forEach(
          t -> answer(plan, t, new JobAnswer.Refused(Reason.NO_PLANNER, RETRY_AFTER_MS)));
    }
  }
}
