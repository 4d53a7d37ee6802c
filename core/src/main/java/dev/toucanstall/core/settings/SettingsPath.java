package dev.toucanstall.core.settings;

import dev.toucanstall.core.model.Names;
import java.util.List;
import java.util.Optional;

/**
 * A path in the tree of settings, such as {@code /teams/thriftmark/share}. The root is {@code /}.
 * Immutable.
 *
 * @param segments names on the path from the root, empty for the root
 */
public record SettingsPath(List<String> segments) {

  /** Maximum number of segments. */
  public static final int MAX_DEPTH = 6;

  /** Path of the whole tree. */
  public static final SettingsPath ROOT = new SettingsPath(List.of());

  /**
   * Creates a path.
   *
   * @throws IllegalArgumentException if a segment is malformed, or there are more than {@value
   *     #MAX_DEPTH} segments
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
   * @throws IllegalArgumentException if the text does not start with a slash, a segment is
   *     malformed or there are more than {@value #MAX_DEPTH} segments
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
   * Returns the path with the given segments.
   *
   * @param segments the segments, none for the root
   * @return the path
   * @throws IllegalArgumentException if a segment is malformed, or there are more than {@value
   *     #MAX_DEPTH} segments
   */
  public static SettingsPath of(String... segments) {
    return new SettingsPath(List.of(segments));
  }

  /**
   * Tells whether this path equals another one or lies below it.
   *
   * @param ancestor the other path
   * @return true if so
   */
  public boolean isWithin(SettingsPath ancestor) {
    int depth = ancestor.segments.size();
    return depth <= segments.size() && segments.subList(0, depth).equals(ancestor.segments);
  }

  /**
   * Returns the parent of this path.
   *
   * @return the parent, empty for the root
   */
  public Optional<SettingsPath> parent() {
    return segments.isEmpty()
        ? Optional.empty()
        : Optional.of(new SettingsPath(segments.subList(0, segments.size() - 1)));
  }

  /**
   * Returns the first segments of this path.
   *
   * @param depth maximum number of segments
   * @return this path if it is not longer, else its ancestor with that number of segments
   */
  public SettingsPath prefix(int depth) {
    return segments.size() <= depth ? this : new SettingsPath(segments.subList(0, depth));
  }

  @Override
  public String toString() {
    return "/" + String.join("/", segments);
  }
}
