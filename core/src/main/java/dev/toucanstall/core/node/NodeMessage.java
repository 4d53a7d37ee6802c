package dev.toucanstall.core.node;

import dev.toucanstall.core.job.JobAnswer;
import dev.toucanstall.core.job.JobCall;

/** What entry instances send each other about jobs. */
public sealed interface NodeMessage {

  /**
   * Asks the planner.
   *
   * @param number names the call in its answer
   * @param call the call
   */
  record Ask(long number, JobCall call) implements NodeMessage {}

  /**
   * Answers a call.
   *
   * @param number the call
   * @param answer the answer
   */
  record Reply(long number, JobAnswer answer) implements NodeMessage {}

  /**
   * Says that the receiver of a call does not plan, or no longer; the call may be asked elsewhere.
   *
   * @param number the call
   * @param taken whether the call may have been stored
   */
  record NotPlanner(long number, boolean taken) implements NodeMessage {}

  /**
   * Asks whether the receiver plans.
   *
   * @param cores the sender's processor time a second, in cores; 0 if it is not fit to plan
   */
  record Ping(double cores) implements NodeMessage {}

  /** Answers a ping at once: the process is there, whatever its decisions take. */
  record Alive() implements NodeMessage {}

  /**
   * Answers a ping once its time comes among the other events.
   *
   * @param plans whether the sender plans and the store has confirmed it lately
   * @param yields whether the receiver should plan instead
   */
  record Pong(boolean plans, boolean yields) implements NodeMessage {}
}
