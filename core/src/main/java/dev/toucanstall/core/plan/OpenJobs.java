package dev.toucanstall.core.plan;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * Index of the open jobs by service: those that have not ended or still have bound tasks. Owned by
 * the control thread.
 */
final class OpenJobs {

  private final Map<String, Set<Job>> byService = new HashMap<>();

  /** Open jobs with tasks of ready steps that wait for capacity, by service. */
  private final Map<String, Set<Job>> readyByService = new HashMap<>();

  /** Open jobs with occurrences that were not due yet, by the time at which the next one is. */
  private final NavigableMap<Long, Set<Job>> byNextDue = new TreeMap<>();

  void add(Job job) {
    schedule(job);
    byService.computeIfAbsent(job.service, s -> new LinkedHashSet<>()).add(job);
    job.isOpen = true;
    updateReady(job);
  }

  void remove(Job job) {
    Set<Job> open = byService.get(job.service);
    if (open != null) {
      open.remove(job);
    }
    job.isOpen = false;
    unschedule(job);
    updateReady(job);
  }

  private void schedule(Job job) {
    if (job.hasFutureOccurrences()) {
      job.scheduledMs = job.nextDueMs();
      byNextDue.computeIfAbsent(job.scheduledMs, due -> new LinkedHashSet<>()).add(job);
    }
  }

  private void unschedule(Job job) {
    byNextDue.computeIfPresent(
        job.scheduledMs,
        (due, jobs) -> {
          jobs.remove(job);
          return jobs.isEmpty() ? null : jobs;
        });
  }

  /** Creates the occurrences that are due, and returns the services of jobs with new ones. */
  Set<String> createDue(long wallMs) {
    if (byNextDue.isEmpty() || byNextDue.firstKey() > wallMs) {
      return Set.of();
    }
    List<Job> due = byNextDue.headMap(wallMs, true).values().stream().flatMap(Set::stream).toList();
    Set<String> services = new LinkedHashSet<>();
    for (Job job : due) {
      unschedule(job);
      boolean created = job.createDue(wallMs);
      schedule(job);
      if (created) {
        updateReady(job);
        services.add(job.service);
      }
    }
    return services;
  }

  /** Updates whether a job counts among those with ready tasks. */
  void updateReady(Job job) {
    Set<Job> ready = readyByService.computeIfAbsent(job.service, s -> new LinkedHashSet<>());
    if (job.isOpen && job.hasReadyTask) {
      ready.add(job);
    } else {
      ready.remove(job);
    }
  }

  int size() {
    return byService.values().stream().mapToInt(Set::size).sum();
  }

  Stream<Job> all() {
    return byService.values().stream().flatMap(Set::stream);
  }

  /** Returns the open jobs of a service, to be read only. */
  Set<Job> ofService(String service) {
    return byService.getOrDefault(service, Set.of());
  }

  /** Returns the open jobs of a service with ready tasks, to be read only. */
  Set<Job> readyOfService(String service) {
    return readyByService.getOrDefault(service, Set.of());
  }

  /** Returns the services that have or had open jobs. */
  Set<String> services() {
    return byService.keySet();
  }
}
