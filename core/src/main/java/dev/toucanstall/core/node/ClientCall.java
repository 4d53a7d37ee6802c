package dev.toucanstall.core.node;

import dev.toucanstall.core.job.JobSpec;
import org.jspecify.annotations.Nullable;

/**
 * A call as it came from a client, before its queue is looked up. Immutable.
 *
 * @param kind what is asked
 * @param host the host name
 * @param path the path
 * @param key the key, empty if none
 * @param waitMs how long the client waits for an answer, in milliseconds
 * @param spec the job that is handed in, null if there is none or it is malformed
 * @param bodyError why the body is malformed, empty if it is not
 */
public record ClientCall(
    Kind kind,
    String host,
    String path,
    String key,
    long waitMs,
    @Nullable JobSpec spec,
    String bodyError) {

  /** What is asked. */
  public enum Kind {
    /** Hand a job in. */
    SUBMIT,
    /** Show a job, or count a queue's jobs. */
    SHOW,
    /** Cancel a job. */
    CANCEL
  }
}
