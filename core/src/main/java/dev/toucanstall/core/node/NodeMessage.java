package dev.toucanstall.core.node;

import dev.toucanstall.core.job.JobAnswer;
import dev.toucanstall.core.job.JobCall;

/**
 * Messages between the planner and its followers. The names of the types and components are part of
 * the message encoding.
 */
public sealed interface NodeMessage {

  /**
   * Request of a follower: forwards a call to the planner.
   *
   * @param number number of the call on the link, which its reply repeats
   * @param call the call
   */
  record Ask(long number, JobCall call) implements NodeMessage {}

  /**
   * Reply to an {@link Ask}.
   *
   * @param number number of the call on the link
   * @param answer the answer to the call
   */
  record Reply(long number, JobAnswer answer) implements NodeMessage {}

  /**
   * Reply to an {@link Ask} from an entry instance that is not, or no longer, the planner. The call
   * may be sent to another planner.
   *
   * @param number number of the call on the link
   * @param taken whether the effect of the call may have been stored
   */
  record NotPlanner(long number, boolean taken) implements NodeMessage {}

  /**
   * Queries whether the receiver is the planner.
   *
   * @param cores processor capacity of the sender, in cores; 0 if it is not fit to plan
   */
  record Ping(double cores) implements NodeMessage {}

  /**
   * Immediate reply to a {@link Ping}. Shows that the process runs, however long its reducer takes.
   */
  record Alive() implements NodeMessage {}

  /**
   * Reply to a {@link Ping} from the sender's reducer, in turn with its other events.
   *
   * @param plans whether the sender is the planner and the store has confirmed its epoch recently
   * @param yields whether the receiver should become the planner instead
   * @param logEnd end of the job log after the planner's last confirmed append, -1 if unknown; an
   *     earlier version sends none, which is read as 0
   * @param confirmedAgeMs time since that append was sent, in milliseconds
   */
  record Pong(boolean plans, boolean yields, long logEnd, long confirmedAgeMs)
      implements NodeMessage {}
}
