package dev.toucanstall.core.model;

import java.util.regex.Pattern;

/**
 * Identifies a request across submissions: the team and the id that its caller chose.
 *
 * @param team the team whose key came with the request
 * @param id the caller's id, 1 to 128 visible ASCII characters
 */
public record RequestKey(TeamId team, String id) {

  private static final Pattern VISIBLE = Pattern.compile("[!-~]{1,128}");

  /**
   * Creates the key.
   *
   * @throws IllegalArgumentException if the id is malformed
   */
  public RequestKey {
    if (!isRequestId(id)) {
      throw new IllegalArgumentException(
          "request id \"%s\" does not match %s".formatted(Names.abbreviate(id), VISIBLE.pattern()));
    }
  }

  /**
   * Tells whether a text may be a request id.
   *
   * @param text the text
   * @return true for 1 to 128 visible ASCII characters
   */
  public static boolean isRequestId(String text) {
    return VISIBLE.matcher(text).matches();
  }
}
