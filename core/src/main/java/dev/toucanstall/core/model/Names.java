package dev.toucanstall.core.model;

import java.util.regex.Pattern;

/** Validation of names that come from outside the process. Stateless and thread-safe. */
public final class Names {

  /** Maximum length of a name in characters. */
  public static final int MAX_LENGTH = 63;

  private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9._-]{0,62}");

  private Names() {}

  /**
   * Tells whether a text is a well-formed name: 1 to {@value #MAX_LENGTH} lower-case letters,
   * digits, dots, underscores and hyphens, the first a letter or digit.
   *
   * @param text the text, may be empty
   * @return true if the text is a well-formed name
   */
  public static boolean isName(String text) {
    return NAME.matcher(text).matches();
  }

  /**
   * Returns a name unchanged if it is well-formed.
   *
   * @param kind kind of the named thing, for the message
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
   * Shortens a text for messages.
   *
   * @param text the text
   * @return the text, or its first {@value #MAX_LENGTH} characters followed by "..." if it is
   *     longer
   */
  public static String abbreviate(String text) {
    return text.length() <= MAX_LENGTH ? text : text.substring(0, MAX_LENGTH) + "...";
  }
}
