package dev.toucanstall.core.settings;

/**
 * A value in the tree.
 *
 * @param value the text
 * @param changedAtOffset the offset of the record that wrote it
 */
public record Leaf(String value, long changedAtOffset) {}
