package dev.toucanstall.core.plan;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

/**
 * Index of the open jobs by service: those that have not ended or still have bound tasks. Owned by
 * the control thread.
 */
final class OpenJobs {

  private final Map<String, Set<Job>> byService = new HashMap<>();

  /** Open jobs with tasks of ready steps that wait for capacity, by service. */
  private final Map<String, Set<Job>> readyByService = new HashMap<>();

  void add(Job job) {
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
    updateReady(job);
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
