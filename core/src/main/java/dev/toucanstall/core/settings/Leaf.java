package dev.toucanstall.core.settings;

/**
 * A value in the tree of settings. Immutable.
 *
 * @param value text of the value
 * @param changedAtOffset offset of the record that last assigned the value
 */
public record Leaf(String value, long changedAtOffset) {}
