package dev.toucanstall.core.node;

import dev.toucanstall.core.job.Catalog;
import dev.toucanstall.core.job.WaveOrder;
import dev.toucanstall.core.model.InstanceSize;
import dev.toucanstall.core.plan.Now;
import dev.toucanstall.core.plan.Plan;
import dev.toucanstall.core.plan.PlanLoad;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * The state of an entry instance. Owned by the control thread and changed in place; only {@link
 * NodeReducer} changes it.
 */
public final class Node {

  /** Where an answer of this entry instance's own planner goes. */
  record Origin(long link, long number) {}

  final String name;
  final InstanceSize size;

  /** The entry instances that follow this one. */
  final Followers followers = new Followers();

  final Map<Long, Pending> pending = new LinkedHashMap<>();
  final Map<Long, Origin> origins = new HashMap<>();
  final Map<Integer, WaveOrder> waves = new LinkedHashMap<>();
  @Nullable Catalog catalog;
  @Nullable Leader leader;
  @Nullable Plan plan;

  /** When the configuration was last asked for and is known to be the newest. */
  long catalogAskedMs = Long.MIN_VALUE / 2;

  boolean leaderReachable;

  /** Whether the link to a planner that was just named is being made. */
  boolean linking;

  /** Whether the planner said lately that it plans and the store confirms it. */
  boolean leaderPlans;

  /** Whether the store has told who plans, or that nobody does. */
  boolean leaderAsked;

  /** Until when a planner that was just named or linked to may not have said whether it plans. */
  long leaderUnheardUntilMs;

  /** When the planner was last heard, or the link to it made, steady milliseconds. */
  long leaderHeardMs;

  /** Whether the group is asked more often for want of a planner. */
  boolean hurried = true;

  boolean electing;
  long electAfterMs;
  boolean ready;
  boolean stopping;
  StopTimes stopTimes = StopTimes.NEVER;
  long nextTicket = 1L << 40;
  @Nullable Now last;

  private List<NodeEffect> out = new ArrayList<>();

  /**
   * Creates the state of an entry instance of unknown size that knows nothing yet.
   *
   * @param name the instance's name
   */
  public Node(String name) {
    this(name, InstanceSize.UNKNOWN);
  }

  /**
   * Creates the state of an entry instance that knows nothing yet.
   *
   * @param name the instance's name
   * @param size what it may use of its machine
   */
  public Node(String name, InstanceSize size) {
    this.name = name;
    this.size = size;
  }

  /**
   * Returns what this entry instance may use of its machine.
   *
   * @return the size
   */
  public InstanceSize size() {
    return size;
  }

  /**
   * Tells whether this entry instance plans.
   *
   * @return true if so
   */
  public boolean isPlanner() {
    return plan != null;
  }

  /**
   * Returns how many passes this entry instance's planner has made in its term.
   *
   * @return the number, 0 if it does not plan
   */
  public long passes() {
    Plan current = plan;
    return current == null ? 0 : current.passes();
  }

  /**
   * Counts what this entry instance's planner looks after.
   *
   * @return the counts, empty if it does not plan
   */
  public Optional<PlanLoad> load() {
    return Optional.ofNullable(plan).map(Plan::load);
  }

  void emit(NodeEffect effect) {
    out.add(effect);
  }

  void logEvent(String event, String... fields) {
    Map<String, String> named = new LinkedHashMap<>();
    for (int i = 0; i + 1 < fields.length; i += 2) {
      named.put(fields[i], fields[i + 1]);
    }
    emit(new NodeEffect.Note(event, named));
  }

  List<NodeEffect> takeEffects() {
    List<NodeEffect> taken = out;
    out = new ArrayList<>();
    return taken;
  }
}
