package dev.toucanstall.core.fold;

import dev.toucanstall.core.settings.Assignment;
import java.util.List;

/**
 * An accepted change of settings in the history for operators. Encoded with its component names.
 *
 * @param offset offset of the record of the change
 * @param change id of the change
 * @param author author of the change, as the operator gave it
 * @param assignments assignments of the change, in order
 */
public record HistoryEntry(
    long offset, String change, String author, List<Assignment> assignments) {}
