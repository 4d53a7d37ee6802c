package dev.toucanstall.entry.traffic;

/** The names of the headers between callers, entry instances and backend servers. */
public final class Headers {

  /** The id of a request across submissions, chosen by the caller. */
  public static final String REQUEST_ID = "Toucan-Request-Id";

  /** "false" marks a request as non-idempotent, "true" as idempotent. */
  public static final String IDEMPOTENT = "Toucan-Idempotent";

  /** How long the caller waits, in milliseconds. */
  public static final String DEADLINE_MS = "Toucan-Deadline-Ms";

  /** "urgent" or "batch". */
  public static final String URGENCY = "Toucan-Urgency";

  /** The id of an attempt, which a backend server sends back with its answer. */
  public static final String ATTEMPT_ID = "Toucan-Attempt-Id";

  /** The team that a backend server works for. */
  public static final String TEAM = "Toucan-Team";

  /** Whether a refused request may have run. */
  public static final String VERDICT = "Toucan-Verdict";

  /** The entry instance that answered. */
  public static final String SERVED_BY = "Toucan-Served-By";

  private Headers() {}
}
