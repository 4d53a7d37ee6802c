package dev.toucanstall.core.plan;

import java.util.BitSet;
import java.util.stream.IntStream;

/**
 * The parts in which a job's progress is stored. A record has a largest size, so the tasks are
 * divided by their position in the job; a change writes the first part and the parts that it
 * concerns. Owned by the control thread.
 */
final class ProgressParts {

  /** Number of tasks in a part. Records hold them by position, so it must never change. */
  static final int TASKS_PER_PART = 100;

  /** Parts with changes that are not written yet. */
  private final BitSet changed = new BitSet();

  /** Parts that the store may hold. */
  private final BitSet stored = new BitSet();

  /** Returns the number of the part that holds the task at a position of the job, from 0. */
  static int partOf(int position) {
    return position / TASKS_PER_PART;
  }

  /** Returns the positions in a job of the tasks of a part. */
  static IntStream positionsOf(int part, int taskCount) {
    int first = part * TASKS_PER_PART;
    return IntStream.range(first, Math.min(first + TASKS_PER_PART, taskCount));
  }

  /** Marks a part as changed. */
  void changed(int part) {
    changed.set(part);
  }

  /** Marks a part as held by the store. */
  void stored(int part) {
    stored.set(part);
  }

  /** Removes the marks of changed parts and returns them; their records are held from now on. */
  BitSet takeChanged() {
    BitSet taken = (BitSet) changed.clone();
    changed.clear();
    stored.or(taken);
    return taken;
  }

  /** Returns the parts that the store may hold, and forgets them. */
  BitSet takeStored() {
    BitSet taken = (BitSet) stored.clone();
    stored.clear();
    changed.clear();
    return taken;
  }
}
