package dev.toucanstall.core.settings;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.pcollections.HashPMap;
import org.pcollections.HashTreePMap;
import org.pcollections.TreePMap;

/**
 * Tree of settings as operators write it: values by path, and a version for each subtree.
 * Immutable.
 *
 * <p>The version of a subtree is the offset of the last record that changed it. Versions exist for
 * the first {@value #VERSION_DEPTH} levels; a deeper path has the version of its ancestor on that
 * level. This bounds the number of versions, which outlive removed values.
 *
 * @param leaves values by text of the path
 * @param versions versions by text of the path
 */
public record SettingsTree(TreePMap<String, Leaf> leaves, HashPMap<String, Long> versions) {

  /** Number of segments up to which paths have a version of their own. */
  public static final int VERSION_DEPTH = 2;

  /** Version of a subtree that was never changed. */
  public static final long NEVER_CHANGED = -1;

  /** Tree without values. */
  public static final SettingsTree EMPTY = new SettingsTree(TreePMap.empty(), HashTreePMap.empty());

  /**
   * Returns the version of the subtree at a path.
   *
   * @param path the path
   * @return offset of the last change, {@link #NEVER_CHANGED} if there was none
   */
  public long version(SettingsPath path) {
    return Objects.requireNonNullElse(
        versions.get(path.prefix(VERSION_DEPTH).toString()), NEVER_CHANGED);
  }

  /**
   * Returns the values at and below a path in the order of their paths.
   *
   * @param path the path
   * @return the values by path, empty if there are none
   */
  public Map<String, Leaf> subtree(SettingsPath path) {
    if (path.segments().isEmpty()) {
      return leaves;
    }
    TreePMap<String, Leaf> found = TreePMap.empty();
    Leaf own = leaves.get(path.toString());
    if (own != null) {
      found = found.plus(path.toString(), own);
    }
    return found.plusAll(leaves.subMap(path + "/", true, path + "0", false));
  }

  /**
   * Returns a copy after a list of assignments.
   *
   * @param assignments the assignments, applied in order
   * @param offset offset of the record with the assignments
   * @return the new tree
   */
  public SettingsTree assign(List<Assignment> assignments, long offset) {
    SettingsTree tree = this;
    for (Assignment assignment : assignments) {
      tree = tree.assign(assignment, offset);
    }
    return tree;
  }

  private SettingsTree assign(Assignment assignment, long offset) {
    SettingsPath path = SettingsPath.parse(assignment.path());
    String value = assignment.value();
    TreePMap<String, Leaf> next =
        value == null
            ? leaves.minusAll(subtree(path).keySet())
            : leaves.plus(path.toString(), new Leaf(value, offset));
    return new SettingsTree(next, updateVersions(path, offset));
  }

  private HashPMap<String, Long> updateVersions(SettingsPath path, long offset) {
    HashPMap<String, Long> next = versions;
    int maxDepth = Math.min(VERSION_DEPTH, path.segments().size());
    for (int depth = 0; depth <= maxDepth; depth++) {
      next = next.plus(path.prefix(depth).toString(), offset);
    }
    return next;
  }
}
