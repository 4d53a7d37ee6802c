package dev.toucanstall.core.settings;

import org.jspecify.annotations.Nullable;

/**
 * Assignment of a value to a path, or removal of the path and all paths below it. Encoded with its
 * component names.
 *
 * @param path text of the path, such as {@code /teams/a/share}
 * @param value new value, null to remove
 */
public record Assignment(String path, @Nullable String value) {}
