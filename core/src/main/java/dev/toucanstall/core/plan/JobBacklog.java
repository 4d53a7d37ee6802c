package dev.toucanstall.core.plan;

import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.NavigableMap;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * The tasks of a job that can be placed or are bound, counted by step over all occurrences, so that
 * what waits costs nothing until its turn comes. Owned by the control thread.
 */
final class JobBacklog {

  /** Counters of one step over the current occurrences. */
  static final class Step {

    /** Number of the step in its job, from 0. */
    final int number;

    private int bound;

    private int startable;

    /** Numbers of the occurrences with startable tasks of this step. */
    private final NavigableSet<Integer> occurrences = new TreeSet<>();

    private Step(int number) {
      this.number = number;
    }

    /** Returns the number of tasks that are bound to a backend server. */
    int bound() {
      return bound;
    }

    /** Returns the number of waiting tasks whose predecessors are done, due or not. */
    int startable() {
      return startable;
    }

    /** Returns the first occurrence with startable tasks after one, or empty. */
    private Optional<Integer> occurrenceAfter(int occurrence) {
      return Optional.ofNullable(occurrences.higher(occurrence));
    }
  }

  /**
   * A step of an occurrence with startable tasks.
   *
   * @param occurrence number of the occurrence
   * @param step number of the step
   */
  private record Position(int occurrence, int step) {

    /** Order in which the tasks of a job are placed. */
    static final Comparator<Position> ORDER =
        Comparator.comparingInt(Position::occurrence).thenComparingInt(Position::step);
  }

  private final Job job;

  /** Steps with bound or startable tasks, by their number. */
  private final NavigableMap<Integer, Step> steps = new TreeMap<>();

  private int startable;

  JobBacklog(Job job) {
    this.job = job;
  }

  /** Returns the steps with bound or startable tasks, to be read only. */
  Collection<Step> steps() {
    return Collections.unmodifiableCollection(steps.values());
  }

  /** Returns whether some waiting task belongs to a step whose predecessors are done. */
  boolean hasStartable() {
    return startable > 0;
  }

  /**
   * Updates the counters after those of a step of an occurrence have changed.
   *
   * @param tasks the tasks of the step
   */
  void update(StepTasks tasks) {
    int boundChange = tasks.counts.bound() - tasks.countedBound;
    int startableBefore = tasks.countedStartable;
    int startableNow = tasks.startable();
    if (boundChange == 0 && startableNow == startableBefore) {
      return;
    }
    tasks.countedBound += boundChange;
    tasks.countedStartable = startableNow;
    startable += startableNow - startableBefore;
    Step step = steps.computeIfAbsent(tasks.number, Step::new);
    step.bound += boundChange;
    step.startable += startableNow - startableBefore;
    if (startableNow == 0) {
      step.occurrences.remove(tasks.occurrence.number);
    } else if (startableBefore == 0) {
      step.occurrences.add(tasks.occurrence.number);
    }
    if (step.bound == 0 && step.startable == 0) {
      steps.remove(step.number);
    }
  }

  /** Drops all counters. */
  void clear() {
    steps.clear();
    startable = 0;
  }

  /**
   * Visits the startable steps by occurrence and step. Costs nothing for the later occurrences of a
   * step once one has been refused.
   *
   * @param visitor places the tasks of a step of an occurrence; returns whether those of its later
   *     occurrences may be placed as well
   */
  void visitStartable(Predicate<StepTasks> visitor) {
    PriorityQueue<Position> next = new PriorityQueue<>(Position.ORDER);
    for (Step step : steps.values()) {
      if (step.startable > 0) {
        next.add(new Position(step.occurrences.first(), step.number));
      }
    }
    while (!next.isEmpty()) {
      Position position = next.remove();
      Optional<StepTasks> tasks =
          job.findOccurrence(position.occurrence).flatMap(k -> k.findStep(position.step));
      if (tasks.isEmpty() || !visitor.test(tasks.get())) {
        continue;
      }
      Step step = steps.get(position.step);
      if (step != null) {
        step.occurrenceAfter(position.occurrence)
            .ifPresent(k -> next.add(new Position(k, position.step)));
      }
    }
  }
}
