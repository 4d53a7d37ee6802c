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
 * The control state of an entry instance. Owned by the control thread and changed in place; only
 * {@link NodeReducer} changes it.
 */
public final class Node {

  /**
   * The origin of a call that another entry instance forwarded to this planner.
   *
   * @param link number of the link that the call arrived over
   * @param number number of the call on that link
   */
  record Origin(long link, long number) {}

  final String name;
  final InstanceSize size;

  /** The entry instances that follow this one while it is the planner. */
  final Followers followers = new Followers();

  /** Unanswered calls of this instance's own clients, by ticket, in order of arrival. */
  final Map<Long, Pending> pending = new LinkedHashMap<>();

  /** Origins of the unanswered calls that other entry instances forwarded, by ticket. */
  final Map<Long, Origin> origins = new HashMap<>();

  /** The operators' maintenance waves, by number. */
  final Map<Integer, WaveOrder> waves = new LinkedHashMap<>();

  /** The latest configuration, null until one has been read. */
  @Nullable Catalog catalog;

  /** The latest planner that the store has named, null if none is known. */
  @Nullable Leader leader;

  /** The state of the planner if it is this entry instance, else null. */
  @Nullable Plan plan;

  /**
   * Time of the request that last confirmed the configuration as the latest, in steady
   * milliseconds.
   */
  long catalogAskedMs = Long.MIN_VALUE / 2;

  /** Whether calls can be sent to the planner over an established link. */
  boolean leaderReachable;

  /** Whether the first link to a newly named planner is being established. */
  boolean linking;

  /** Whether the planner's last report says that it plans and the store has confirmed it. */
  boolean leaderPlans;

  /** Whether the store has answered the query for the planner, even if it names none. */
  boolean leaderAsked;

  /**
   * End of the time that a planner that was newly named or linked to has for reporting whether it
   * plans, in steady milliseconds.
   */
  long leaderUnheardUntilMs;

  /**
   * Time of the planner's last report or, if that is later, of linking to it, in steady
   * milliseconds.
   */
  long leaderHeardMs;

  /** Whether no active planner is known, so that the group is polled more often. */
  boolean hurried = true;

  /** Whether an election that this entry instance started is in progress. */
  boolean electing;

  /** Earliest time of the next election, in steady milliseconds. */
  long electAfterMs;

  /** Whether this entry instance has reported that it is ready to serve clients. */
  boolean ready;

  /** Whether a graceful stop has begun. */
  boolean stopping;

  /** The deadlines of a graceful stop. */
  StopTimes stopTimes = StopTimes.NEVER;

  /**
   * Next ticket for a call of another entry instance. Starts above the tickets that clients' calls
   * have.
   */
  long nextTicket = 1L << 40;

  /** Time of the last event, null before the first. */
  @Nullable Now last;

  /** Effects of the current event, in order. */
  private List<NodeEffect> out = new ArrayList<>();

  /**
   * Creates the initial state of an entry instance of unknown size.
   *
   * @param name the instance's name
   */
  public Node(String name) {
    this(name, InstanceSize.UNKNOWN);
  }

  /**
   * Creates the initial state of an entry instance.
   *
   * @param name the instance's name
   * @param size resources of the machine that the instance may use
   */
  public Node(String name, InstanceSize size) {
    this.name = name;
    this.size = size;
  }

  /**
   * Returns the resources of the machine that this entry instance may use.
   *
   * @return the size, {@link InstanceSize#UNKNOWN} if it is not known
   */
  public InstanceSize size() {
    return size;
  }

  /**
   * Returns whether this entry instance is the planner, as far as it knows.
   *
   * @return true if it is the planner
   */
  public boolean isPlanner() {
    return plan != null;
  }

  /**
   * Returns the number of placement passes in the current term of this entry instance.
   *
   * @return the number of passes, 0 if this entry instance is not the planner
   */
  public long passes() {
    Plan current = plan;
    return current == null ? 0 : current.passes();
  }

  /**
   * Returns the current load of the planner.
   *
   * @return the load, empty if this entry instance is not the planner
   */
  public Optional<PlanLoad> load() {
    return Optional.ofNullable(plan).map(Plan::load);
  }

  void emit(NodeEffect effect) {
    out.add(effect);
  }

  /**
   * Emits a log event.
   *
   * @param event name of the event
   * @param fields alternately the name and the value of each field
   */
  void note(String event, String... fields) {
    Map<String, String> named = new LinkedHashMap<>();
    for (int i = 0; i + 1 < fields.length; i += 2) {
      named.put(fields[i], fields[i + 1]);
    }
    emit(new NodeEffect.Note(event, named));
  }

  /** Returns and clears the effects that have been emitted. */
  List<NodeEffect> takeEffects() {
    List<NodeEffect> taken = out;
    out = new ArrayList<>();
    return taken;
  }
}
