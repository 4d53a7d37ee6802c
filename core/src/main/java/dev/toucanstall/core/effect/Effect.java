package dev.toucanstall.core.effect;

import dev.toucanstall.core.fold.AppliedState;
import dev.toucanstall.core.model.Address;
import dev.toucanstall.core.model.InstanceId;
import dev.toucanstall.core.model.MemberId;
import dev.toucanstall.core.model.ObjectiveOutcome;
import dev.toucanstall.core.model.Producer;
import dev.toucanstall.core.model.Refusal;
import dev.toucanstall.core.model.ServiceId;
import dev.toucanstall.core.model.TeamId;
import dev.toucanstall.core.peer.PeerMessage;
import dev.toucanstall.core.record.Member;
import dev.toucanstall.core.record.RecordBody;
import java.util.List;

/** An action that the reducer decided on and an interpreter carries out. Data only. */
public sealed interface Effect {

  /**
   * Sends a request to a backend server. Times are in nanoseconds of the monotonic clock.
   *
   * @param number number of the request
   * @param team team of the request
   * @param instance instance of the backend server
   * @param address address of the backend server
   * @param validUntil latest time at which the first byte may be sent
   * @param deadline time at which the caller stops waiting
   * @param latestEndAt time by which the backend server must have ended the request
   */
  record StartAttempt(
      long number,
      TeamId team,
      InstanceId instance,
      Address address,
      long validUntil,
      long deadline,
      long latestEndAt)
      implements Effect {}

  /**
   * Answers a caller with a refusal.
   *
   * @param number number of the request
   * @param refusal the refusal
   */
  record Refuse(long number, Refusal refusal) implements Effect {}

  /**
   * Passes the error answer of a backend server on to the caller, since the request is not retried.
   *
   * @param number number of the request
   */
  record PassErrorAnswer(long number) implements Effect {}

  /**
   * Releases the resources of a request whose answer was passed to the caller.
   *
   * @param number number of the request
   */
  record EndRequest(long number) implements Effect {}

  /**
   * Appends a record to the log. The answer to the append is ignored: only reading the record back
   * confirms it.
   *
   * @param producer writer of the record
   * @param sequence sequence number of the record, unique for the producer
   * @param body content of the record
   */
  record Append(Producer producer, long sequence, RecordBody body) implements Effect {}

  /**
   * Encodes a snapshot and appends its parts to the log.
   *
   * @param appliedState the state to encode
   */
  record WriteSnapshot(AppliedState appliedState) implements Effect {}

  /** Reads the log again from its newest snapshot on. */
  record ReloadLog() implements Effect {}

  /**
   * Continues to read the log at another offset.
   *
   * @param fromOffset next offset to read
   */
  record ReadLogFrom(long fromOffset) implements Effect {}

  /**
   * Sends a message to a peer. The message may be lost.
   *
   * @param to the peer
   * @param message the message
   */
  record Send(MemberId to, PeerMessage message) implements Effect {}

  /**
   * Sets the peers to which links are maintained; links to others are closed.
   *
   * @param peers the peers
   */
  record LinkTo(List<Member> peers) implements Effect {}

  /**
   * Answers a request of an operator.
   *
   * @param handle handle of the request
   * @param answer the answer
   */
  record AnswerOperator(long handle, OperatorAnswer answer) implements Effect {}

  /**
   * Requests the platform to restart an instance that runs no requests.
   *
   * @param instance the instance
   * @param incarnation incarnation of the instance that is to end
   */
  record RestartInstance(InstanceId instance, long incarnation) implements Effect {}

  /**
   * Sets the readiness that the load balancer checks.
   *
   * @param ready whether this entry instance is to receive requests
   * @param reason reason of the change, for the log
   */
  record SetReady(boolean ready, String reason) implements Effect {}

  /**
   * Counts an ended request towards the objective of its team.
   *
   * @param team the team
   * @param service the service
   * @param waitedNanos time from the arrival to the start or refusal, in nanoseconds
   * @param started whether the request was started
   * @param outcome outcome of the request towards the objective
   * @param reason "ok", "error-answer", "answer-broken" or the code of a refusal
   */
  record CountRequest(
      TeamId team,
      ServiceId service,
      long waitedNanos,
      boolean started,
      ObjectiveOutcome outcome,
      String reason)
      implements Effect {}

  /**
   * Writes a decision to the log file of the process.
   *
   * @param subject thing that the decision concerns, such as "instance/a1"
   * @param rule name of the rule that was applied
   * @param text the decision and its reason
   */
  record LogDecision(String subject, String rule, String text) implements Effect {}

  /**
   * Raises an alarm for operators.
   *
   * @param name stable name of the alarm
   * @param text description of the problem, one sentence
   */
  record Alarm(String name, String text) implements Effect {}

  /**
   * Ends the process.
   *
   * @param status exit status, 0 for a graceful stop
   * @param reason reason of the exit, for the log
   */
  record Exit(int status, String reason) implements Effect {}
}
