package dev.toucanstall.core.model;

/** Whether a request may have run on a backend server. Constants are metric labels. */
public enum Verdict {
  /** No byte of the request can have reached a backend server. */
  NOT_RUN("not-run"),
  /** The request may have run; only an idempotent one is safe to send again. */
  MAY_HAVE_RUN("may-have-run"),
  /** A backend server answered the request. */
  RAN("ran");

  private final String text;

  Verdict(String text) {
    this.text = text;
  }

  /**
   * Returns the verdict as callers see it.
   *
   * @return "not-run", "may-have-run" or "ran"
   */
  public String text() {
    return text;
  }
}
