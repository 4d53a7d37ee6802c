package dev.toucanstall.core.settings;

import dev.toucanstall.core.model.Names;
import java.util.List;
import java.util.Optional;

/**
 * A path in the operators' tree, such as {@code /teams/thriftmark/share}. The root is {@code /}.
 *
 * @param segments the names on the path, empty for the root
 */
public record SettingsPath(List<String> segments) {

  /** Longest path in segments. */
  public static final int MAX_DEPTH = 6;

  /** The path of the whole tree. */
  public static final SettingsPath ROOT = new SettingsPath(List.of());

  /**
   * Creates a path.
   *
   * @throws IllegalArgumentException if a segment is malformed or there are too many
   */
  public SettingsPath {
    segments = List.copyOf(segments);
    if (segments.size() > MAX_DEPTH) {
      throw new IllegalArgumentException(
          "path has %d segments, more than %d".formatted(segments.size(), MAX_DEPTH));
    }
    segments.forEach(segment -> Names.requireName("path segment", segment));
  }

  /**
   * Parses a path.
   *
   * @param text the text, starting with a slash
   * @return the path
   * @throws IllegalArgumentException if the text is malformed
   */
  public static SettingsPath parse(String text) {
    if (!text.startsWith("/")) {
      throw new IllegalArgumentException(
          "path \"%s\" does not start with \"/\"".formatted(Names.abbreviate(text)));
    }
    if (text.equals("/")) {
      return ROOT;
    }
    return new SettingsPath(List.of(text.substring(1).split("/", -1)));
  }

  /**
   * Makes a path of segments.
   *
   * @param segments the segments
   * @return the path
   */
  public static SettingsPath of(String... segments) {
    return new SettingsPath(List.of(segments));
  }

  /**
   * Tells whether this path is another one or lies below it.
   *
   * @param ancestor the other path
   * @return true if so
   */
  public boolean isWithin(SettingsPath ancestor) {
    int depth = ancestor.segments.size();
    return depth <= segments.size() && segments.subList(0, depth).equals(ancestor.segments);
  }

  /**
   * Returns the path above this one.
   *
   * @return the parent, empty for the root
   */
  public Optional<SettingsPath> parent() {
    return segments.isEmpty()
        ? Optional.empty()
        : Optional.of(new SettingsPath(segments.subList(0, segments.size() - 1)));
  }

  /**
   * Returns the ancestor with at most a number of segments.
   *
   * @param depth the number of segments
   * @return this path or its ancestor
   */
  public SettingsPath prefix(int depth) {
    return segments.size() <= depth ? this : new SettingsPath(segments.subList(0, depth));
  }

  @Override
  public String toString() {
    return "/" + String.join("/", segments);
  }
}
