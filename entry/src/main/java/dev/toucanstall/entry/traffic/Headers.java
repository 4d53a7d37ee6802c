package dev.toucanstall.entry.traffic;

/** Names of the HTTP headers between callers, entry instances and backend servers. */
public final class Headers {

  /** Id of a request, chosen by the caller and the same when the request is sent again. */
  public static final String REQUEST_ID = "Toucan-Request-Id";

  /** "true" marks a request as idempotent, "false" as non-idempotent; else its method decides. */
  public static final String IDEMPOTENT = "Toucan-Idempotent";

  /**
   * Time that is left for the request, in milliseconds: towards an entry instance from its arrival,
   * towards a backend server from the start of the attempt.
   */
  public static final String DEADLINE_MS = "Toucan-Deadline-Ms";

  /** Urgency of a request: "urgent" (the default) or "batch". */
  public static final String URGENCY = "Toucan-Urgency";

  /** Id of an attempt; the backend server returns it with its response. */
  public static final String ATTEMPT_ID = "Toucan-Attempt-Id";

  /** Team for which the backend server runs the request. */
  public static final String TEAM = "Toucan-Team";

  /** Whether the request ran: "not-run", "may-have-run" or "ran". */
  public static final String VERDICT = "Toucan-Verdict";

  /** Id of the entry instance that responded. */
  public static final String SERVED_BY = "Toucan-Served-By";

  private Headers() {}
}
