package dev.toucanstall.wire.json;

/** Shortens the messages of exceptions thrown by libraries. Stateless and thread-safe. */
final class ErrorMessages {

  private static final int MAX_LENGTH = 200;

  private ErrorMessages() {}

  /**
   * Returns the first line of an exception's message, cut to 200 characters, or the simple name of
   * the exception's class if the message is null or blank.
   */
  static String firstLine(Exception e) {
    String message = e.getMessage();
    if (message == null || message.isBlank()) {
      return e.getClass().getSimpleName();
    }
    String line = message.lines().findFirst().orElse("");
    return line.length() <= MAX_LENGTH ? line : line.substring(0, MAX_LENGTH);
  }
}
