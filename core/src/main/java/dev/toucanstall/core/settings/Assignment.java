package dev.toucanstall.core.settings;

import org.jspecify.annotations.Nullable;

/**
 * Gives one path a value, or removes it and all below it.
 *
 * @param path the path in text, such as {@code /teams/a/share}
 * @param value the new value, null to remove
 */
public record Assignment(String path, @Nullable String value) {}
