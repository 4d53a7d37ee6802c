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

/** Something that a decision asks the interpreter to carry out. Data only. */
public sealed interface Effect {

  /**
   * Sends a request to a backend server.
   *
   * @param number the request's number
   * @param team the team that it runs for
   * @param instance the instance
   * @param address where its backend server listens
   * @param validUntil the last moment at which the first byte may be sent
   * @param deadline when the caller stops waiting
   * @param latestEndAt when the backend server has ended the work at the latest
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
   * @param number the request's number
   * @param refusal the refusal
   */
  record Refuse(long number, Refusal refusal) implements Effect {}

  /**
   * Passes a backend server's error answer on to the caller, as no retry is due.
   *
   * @param number the request's number
   */
  record PassErrorAnswer(long number) implements Effect {}

  /**
   * Ends a request whose answer has gone to the caller.
   *
   * @param number the request's number
   */
  record EndRequest(long number) implements Effect {}

  /**
   * Appends a record to the log; the answer is not trusted.
   *
   * @param producer who writes it
   * @param sequence the producer's number of it
   * @param body what it says
   */
  record Append(Producer producer, long sequence, RecordBody body) implements Effect {}

  /**
   * Encodes a snapshot and appends its parts to the log.
   *
   * @param appliedState the state
   */
  record WriteSnapshot(AppliedState appliedState) implements Effect {}

  /** Reads the log again from its newest snapshot. */
  record ReloadLog() implements Effect {}

  /**
   * Reads the log from an offset from now on.
   *
   * @param fromOffset the next offset to read
   */
  record ReadLogFrom(long fromOffset) implements Effect {}

  /**
   * Sends a message to a peer; it may be lost.
   *
   * @param to the peer
   * @param message the message
   */
  record Send(MemberId to, PeerMessage message) implements Effect {}

  /**
   * Keeps links to exactly these peers.
   *
   * @param peers the peers
   */
  record LinkTo(List<Member> peers) implements Effect {}

  /**
   * Answers an operator.
   *
   * @param handle the handle of the question
   * @param answer the answer
   */
  record AnswerOperator(long handle, OperatorAnswer answer) implements Effect {}

  /**
   * Asks the platform to restart an instance that runs nothing.
   *
   * @param instance the instance
   * @param incarnation the start of it that is to end
   */
  record RestartInstance(InstanceId instance, long incarnation) implements Effect {}

  /**
   * Tells the balancer whether this entry instance takes requests.
   *
   * @param ready whether it does
   * @param reason one sentence
   */
  record SetReady(boolean ready, String reason) implements Effect {}

  /**
   * Counts a request towards its team's objective.
   *
   * @param team the team
   * @param service the service
   * @param waitedNanos from arrival to start, or to the refusal
   * @param started whether it started
   * @param outcome what its end means for the objective
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
   * Writes a decision to the log of the process.
   *
   * @param subject what it is about
   * @param rule the rule that it followed
   * @param text what was decided and why
   */
  record LogDecision(String subject, String rule, String text) implements Effect {}

  /**
   * Raises an alarm for operators.
   *
   * @param name the stable name of the alarm
   * @param text one sentence
   */
  record Alarm(String name, String text) implements Effect {}

  /**
   * Ends the process.
   *
   * @param status the exit status
   * @param reason one sentence
   */
  record Exit(int status, String reason) implements Effect {}
}
