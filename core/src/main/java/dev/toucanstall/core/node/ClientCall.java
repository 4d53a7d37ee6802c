package dev.toucanstall.core.node;

import dev.toucanstall.core.job.JobSpec;
import org.jspecify.annotations.Nullable;

/**
 * A call of a client as received, before its queue is looked up. Immutable.
 *
 * @param kind the operation
 * @param host host name of the request, without a port
 * @param path path of the request
 * @param key the client's API key, empty if there is none
 * @param waitMs time that the client waits for an answer, in milliseconds
 * @param spec the submitted job, null if the call is no submission or its body is malformed
 * @param bodyError the reason why the body is malformed, empty if it is not
 */
public record ClientCall(
    Kind kind,
    String host,
    String path,
    String key,
    long waitMs,
    @Nullable JobSpec spec,
    String bodyError) {

  /** The operations that clients can call. */
  public enum Kind {
    /** Submit a job. */
    SUBMIT,
    /** Query the phase of a job or, if the path contains no job id, the backlog of a queue. */
    SHOW,
    /** Cancel a job. */
    CANCEL
  }
}
