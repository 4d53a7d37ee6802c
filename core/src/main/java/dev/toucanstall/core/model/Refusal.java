package dev.toucanstall.core.model;

/**
 * A refusal of a request, true in what its verdict says.
 *
 * @param code the stable code
 * @param verdict whether the request may have run
 * @param detail one sentence for a person
 * @param retryAfterMillis after how many milliseconds a retry may help, 0 if it does not
 */
public record Refusal(RefusalCode code, Verdict verdict, String detail, long retryAfterMillis) {

  /**
   * Makes a refusal of a request that was not run.
   *
   * @param code the code
   * @param detail one sentence
   * @return the refusal
   */
  public static Refusal notRun(RefusalCode code, String detail) {
    return new Refusal(code, Verdict.NOT_RUN, detail, 0);
  }

  /**
   * Makes a refusal of a request that was not run and may be sent again later.
   *
   * @param code the code
   * @param detail one sentence
   * @param retryAfterMillis when to try again, in milliseconds
   * @return the refusal
   */
  public static Refusal notRun(RefusalCode code, String detail, long retryAfterMillis) {
    return new Refusal(code, Verdict.NOT_RUN, detail, retryAfterMillis);
  }

  /**
   * Makes a refusal of a request that may have run.
   *
   * @param code the code
   * @param detail one sentence
   * @return the refusal
   */
  public static Refusal mayHaveRun(RefusalCode code, String detail) {
    return new Refusal(code, Verdict.MAY_HAVE_RUN, detail, 0);
  }

  /**
   * Returns the refusal with the verdict that the request may have run.
   *
   * @return the new refusal, without a hint to try again
   */
  public Refusal mayHaveRun() {
    return new Refusal(code, Verdict.MAY_HAVE_RUN, detail, 0);
  }
}
