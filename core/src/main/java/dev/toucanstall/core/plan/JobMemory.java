package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.JobSpec;
import dev.toucanstall.core.job.StepSpec;
import java.util.HashMap;
import java.util.Map;

/**
 * Upper bound for the memory that the planner's jobs take, so that what has been accepted fits any
 * entry instance that may be elected. Counts all jobs, also restored ones and those that have ended
 * and can still be queried; not the tasks that run, which the capacity of the backend servers
 * bounds. Owned by the control thread.
 */
final class JobMemory {

  /** Most bytes that jobs may take: half of the heap of an entry instance (deploy/system.toml). */
  static final long MAX_BYTES = 64L << 20;

  /** Bytes of a job without its texts, steps and occurrences. */
  static final int JOB_BYTES = 1_200;

  /** Bytes of the specification of a step without its texts. */
  static final int STEP_BYTES = 250;

  /** Bytes of a step of an occurrence that is due, with the tasks to place next. */
  static final int CURRENT_STEP_BYTES = 900;

  /** Most bytes of a character of a text. */
  private static final int CHARACTER_BYTES = 2;

  /** Occurrences for each byte of the set of those that are done. */
  private static final int OCCURRENCES_PER_BYTE = 8;

  /** Bytes that are counted for each job, by its id. */
  private final Map<String, Long> bytesByJob = new HashMap<>();

  private long usedBytes;

  /** Returns an upper bound for the memory that a job takes until it has ended, in bytes. */
  static long bytesOf(JobSpec spec) {
    long steps = spec.steps().size();
    long tasks = spec.steps().stream().mapToLong(StepSpec::count).sum() * spec.occurrences();
    long current = Math.min(spec.occurrences(), Job.MAX_READY_OCCURRENCES);
    return JOB_BYTES
        + textBytes(spec)
        + steps * STEP_BYTES
        + steps * current * CURRENT_STEP_BYTES
        + tasks / OCCURRENCES_PER_BYTE;
  }

  private static long textBytes(JobSpec spec) {
    long characters =
        spec.text().length()
            + spec.steps().stream()
                .mapToLong(s -> s.label().length() + s.rack().length() + s.image().length())
                .sum();
    return CHARACTER_BYTES * characters;
  }

  /** Returns whether another job fits. */
  boolean hasRoomFor(JobSpec spec) {
    return usedBytes + bytesOf(spec) <= MAX_BYTES;
  }

  /** Counts a job that has not ended. */
  void opened(Job job) {
    count(job.id, bytesOf(job.spec));
  }

  /** Counts a job as one that has ended: it has no tasks and no specification any more. */
  void ended(Job job) {
    count(job.id, JOB_BYTES);
  }

  /** Counts a job no more. */
  void removed(String job) {
    count(job, 0);
  }

  private void count(String job, long bytes) {
    Long before = bytes == 0 ? bytesByJob.remove(job) : bytesByJob.put(job, bytes);
    usedBytes += bytes - (before == null ? 0 : before);
  }

  /** Returns an upper bound for the memory that all jobs take, in bytes. */
  long usedBytes() {
    return usedBytes;
  }
}
