package dev.toucanstall.core.fold;

import dev.toucanstall.core.settings.Assignment;
import java.util.List;

/**
 * An accepted change of settings, for the operators' history.
 *
 * @param offset the offset of its record
 * @param change the id of the change
 * @param author who made it
 * @param assignments what it assigned
 */
public record HistoryEntry(
    long offset, String change, String author, List<Assignment> assignments) {}
