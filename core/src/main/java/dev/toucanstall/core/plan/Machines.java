package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.MachineEntry;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/** What is known of the platform's machines. Owned by the control thread. */
final class Machines {

  /** Newest list by name; empty until the first list. */
  Map<String, MachineEntry> listed = new HashMap<>();

  boolean known;
  boolean asking;
  long askAfterMs;

  /** Machines whose maintenance has begun, by wave. */
  private final Map<Integer, Set<String>> begun = new HashMap<>();

  Set<String> begun(int wave) {
    return begun.computeIfAbsent(wave, n -> new LinkedHashSet<>());
  }
}
