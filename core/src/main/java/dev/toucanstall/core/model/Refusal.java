package dev.toucanstall.core.model;

/**
 * Refusal of a request. Immutable.
 *
 * @param code stable code
 * @param verdict whether the request may have run
 * @param detail explanation for a person, one sentence
 * @param retryAfterMillis time in milliseconds after which a retry may succeed, 0 if no retry is
 *     advised
 */
public record Refusal(RefusalCode code, Verdict verdict, String detail, long retryAfterMillis) {

  /**
   * Returns a refusal of a request that was not run.
   *
   * @param code the code
   * @param detail explanation for a person, one sentence
   * @return the refusal
   */
  public static Refusal notRun(RefusalCode code, String detail) {
    return new Refusal(code, Verdict.NOT_RUN, detail, 0);
  }

  /**
   * Returns a refusal of a request that was not run and may be sent again later.
   *
   * @param code the code
   * @param detail explanation for a person, one sentence
   * @param retryAfterMillis time in milliseconds after which a retry may succeed
   * @return the refusal
   */
  public static Refusal notRun(RefusalCode code, String detail, long retryAfterMillis) {
    return new Refusal(code, Verdict.NOT_RUN, detail, retryAfterMillis);
  }

  /**
   * Returns a refusal of a request that may have run.
   *
   * @param code the code
   * @param detail explanation for a person, one sentence
   * @return the refusal
   */
  public static Refusal mayHaveRun(RefusalCode code, String detail) {
    return new Refusal(code, Verdict.MAY_HAVE_RUN, detail, 0);
  }

  /**
   * Returns a copy with the verdict that the request may have run.
   *
   * @return the new refusal, which advises no retry
   */
  public Refusal mayHaveRun() {
    return new Refusal(code, Verdict.MAY_HAVE_RUN, detail, 0);
  }
}
