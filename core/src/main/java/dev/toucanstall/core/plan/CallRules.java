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

/** Decides on the calls of client accounts: submissions, queries and cancellations of jobs. */
final class CallRules {

  /**
   * Time after which a client should retry a call that was refused during a store outage, in
   * milliseconds.
   */
  static final long RETRY_AFTER_MS = 1_000;

  private CallRules() {}

  /**
   * Decides on a call. The answer is emitted as an effect, for most calls once all changes so far
   * are stored.
   */
  static void decide(Plan plan, PlanEvent.Called called, Now now) {
    long ticket = called.ticket();
    switch (called.call()) {
      case JobCall.Submit submit -> submit(plan, ticket, submit, now);
      case JobCall.Show show -> show(plan, ticket, show);
      case JobCall.Cancel cancel -> cancel(plan, ticket, cancel, now);
      case JobCall.Count count ->
          answer(plan, ticket, new JobAnswer.Counted(countPending(plan, count.queue())));
    }
  }

  /**
   * Accepts a new job, or answers again for a job that is known, because a submission is idempotent
   * by the job's id.
   *
   * <p>Submissions are refused while the queue is unknown or the store has an outage, and those for
   * which the planner's memory has no room.
   */
  private static void submit(Plan plan, long ticket, JobCall.Submit submit, Now now) {
    Job existing = plan.jobs.get(submit.job());
    if (existing != null) {
      acceptOnceStored(plan, ticket, existing);
      return;
    }
    Queue queue = plan.catalog.queuesByName().get(submit.queue());
    if (queue == null || plan.ledger.isStoreOut(now)) {
      answer(plan, ticket, new JobAnswer.Refused(Reason.NO_PLANNER, RETRY_AFTER_MS));
      return;
    }
    if (!plan.jobMemory.hasRoomFor(submit.spec())) {
      plan.logEvent("job-refused", "job", submit.job(), "why", "the jobs use up the memory");
      answer(plan, ticket, new JobAnswer.Refused(Reason.OVERLOADED, RETRY_AFTER_MS));
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
      job.beyondShare = !plan.shares.tryTake(job.account, account.weight(), now.steadyMs());
    }
    if (!job.beyondShare) {
      ResourceAmount work = JobRules.work(plan, job);
      plan.arrivals.add(job.service, work, JobRules.criticalPathMs(plan, job), now.steadyMs());
    }
    plan.ledger.submitted(job);
    acceptOnceStored(plan, ticket, job);
    logAccepted(plan, job, now);
  }

  private static void logAccepted(Plan plan, Job job, Now now) {
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
        Integer.toString(job.taskCount()),
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

  /** Answers a query for the phase of a job. */
  private static void show(Plan plan, long ticket, JobCall.Show show) {
    Job job = plan.jobs.get(show.job());
    if (job == null || !job.queue.equals(show.queue())) {
      answerOnceStored(plan, ticket, new JobAnswer.Absent());
    } else {
      answerOnceStored(plan, ticket, new JobAnswer.Shown(job.phase));
    }
  }

  /** Cancels a job that has not ended; a job that has ended is answered as cancelled, too. */
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

  /** Counts the jobs of a queue that no backend server has begun and that have no start time. */
  private static int countPending(Plan plan, String queue) {
    return (int)
        plan.openJobs
            .all()
            .filter(job -> job.queue.equals(queue) && !job.phase.ended() && !job.hasBegun())
            .filter(job -> !job.spec.hasStartTime())
            .count();
  }

  private static void answer(Plan plan, long ticket, JobAnswer answer) {
    plan.emit(new PlanEffect.Answer(ticket, answer));
  }

  /** Answers a submission once it is stored, unless it was withdrawn before. */
  private static void acceptOnceStored(Plan plan, long ticket, Job job) {
    job.submissionTickets.add(ticket);
    plan.ledger.runOnceStored(
        (now, out) -> {
          if (!job.withdrawn) {
            out.accept(new PlanEffect.Answer(ticket, new JobAnswer.Accepted()));
          }
        });
  }

  /**
   * Answers a call once all changes so far are stored, so that the answer holds for the next
   * planner too.
   */
  private static void answerOnceStored(Plan plan, long ticket, JobAnswer answer) {
    plan.ledger.runOnceStored((now, out) -> out.accept(new PlanEffect.Answer(ticket, answer)));
  }

  /** Refuses the submissions that no append has carried yet while the store has an outage. */
  static void refuseUnsent(Plan plan, Now now) {
    if (!plan.ledger.isStoreOut(now)) {
      return;
    }
    JobAnswer refusal = new JobAnswer.Refused(Reason.NO_PLANNER, RETRY_AFTER_MS);
    List.copyOf(plan.ledger.unsentSubmissions())
        .forEach(job -> refuse(plan, job, refusal, "the store did not answer in time"));
  }

  /** Takes back a job whose submission is not stored and will not be. */
  static void refuse(Plan plan, Job job, JobAnswer refusal, String reason) {
    plan.ledger.withdraw(job);
    List<Task> begun = job.tasks().toList();
    begun.forEach(Task::unbind);
    begun.forEach(t -> t.setPhase(TaskPhase.DROPPED));
    plan.openJobs.remove(job);
    plan.remove(job.id);
    job.withdrawn = true;
    plan.logEvent("job-refused", "job", job.id, "why", reason);
    job.submissionTickets.forEach(t -> answer(plan, t, refusal));
  }
}
