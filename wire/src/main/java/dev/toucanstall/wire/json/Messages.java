package dev.toucanstall.wire.json;

/** Shortens the messages of library errors. Stateless and thread-safe. */
final class Messages {

  private static final int MAX_LENGTH = 200;

  private Messages() {}

  /** Returns the first line of an error's message, or its type if it has none. */
  static String firstLine(Exception e) {
    String message = e.getMessage();
    if (message == null || message.isBlank()) {
      return e.getClass().getSimpleName();
    }
    String line = message.lines().findFirst().orElse("");
    return line.length() <= MAX_LENGTH ? line : line.substring(0, MAX_LENGTH);
  }
}
