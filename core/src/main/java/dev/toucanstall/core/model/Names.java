package dev.toucanstall.core.model;

import java.util.regex.Pattern;

/** Checks of names that come from outside. Stateless and thread-safe. */
public final class Names {

  /** Longest name in characters. */
  public static final int MAX_LENGTH = 63;

  private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9._-]{0,62}");

  private Names() {}

  /**
   * Tells whether a text is a well-formed name: lower-case letters, digits, dots, underscores and
   * hyphens, at most {@value #MAX_LENGTH} characters.
   *
   * @param text the text, may be empty
   * @return true if it is well-formed
   */
  public static boolean isName(String text) {
    return NAME.matcher(text).matches();
  }

  /**
   * Returns a name unchanged if it is well-formed.
   *
   * @param kind what the name stands for, used in the message
   * @param text the name
   * @return the name
   * @throws IllegalArgumentException if the name is malformed
   */
  public static String requireName(String kind, String text) {
    if (!isName(text)) {
      throw new IllegalArgumentException(
          "%s \"%s\" does not match %s".formatted(kind, abbreviate(text), NAME.pattern()));
    }
    return text;
  }

  /**
   * Shortens a text to {@value #MAX_LENGTH} characters for messages.
   *
   * @param text the text
   * @return the text, or its start followed by "..."
   */
  public static String abbreviate(String text) {
    return text.length() <= MAX_LENGTH ? text : text.substring(0, MAX_LENGTH) + "...";
  }
}
