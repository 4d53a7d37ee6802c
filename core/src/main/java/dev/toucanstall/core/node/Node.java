package dev.toucanstall.core.node;

import dev.toucanstall.core.job.Catalog;
import dev.toucanstall.core.job.WaveOrder;
import dev.toucanstall.core.model.InstanceSize;
import dev.toucanstall.core.model.StoreLimits;
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
  final StoreLimits storeLimits;

  /** The entry instances that follow this one while it is the planner. */
  final Followers followers = new Followers();

  /** Unanswered calls of this instance's own clients, by ticket, in order of arrival. */
  final Map<Long, PendingCall> pendingCalls = new LinkedHashMap<>();

  /** Origins of the unanswered calls that other entry instances forwarded, by ticket. */
  final Map<Long, Origin> originsByTicket = new HashMap<>();

  final UnsentReplies unsentReplies = new UnsentReplies();

  final Candidacy candidacy = new Candidacy();

  final PredecessorContact predecessorContact = new PredecessorContact();

  final Map<Integer, WaveOrder> wavesByNumber = new LinkedHashMap<>();

  /** The latest configuration, null until one has been read. */
  @Nullable Catalog catalog;

  /** The latest planner that the store has named, null if none is known. */
  @Nullable Leader leader;

  /** The state of the planner if it is this entry instance, else null. */
  @Nullable Plan plan;

  /**
   * Time of the last request that confirmed the configuration as current, in milliseconds of the
   * monotonic clock.
   */
  long catalogRequestedMs = FreshnessRules.NEVER_MS;

  /**
   * Time at which a suspension of the machine was last noticed, in milliseconds of the monotonic
   * clock.
   */
  long suspensionNoticedMs = FreshnessRules.NEVER_MS;

  /** Whether calls can be sent to the planner over an established link. */
  boolean leaderReachable;

  /** Whether the first link to a newly named planner is being established. */
  boolean connectingToLeader;

  /** Whether the planner's last report says that it plans and the store has confirmed it. */
  boolean leaderReportsPlanning;

  /**
   * Whether the store has answered a query for the current planner, also if the answer names none.
   */
  boolean plannerQueryAnswered;

  /**
   * Time by which a newly named or linked planner must report that it plans, in milliseconds of the
   * monotonic clock.
   */
  long leaderReportDeadlineMs;

  /**
   * Time of the planner's last report or of a later link to it, in milliseconds of the monotonic
   * clock.
   */
  long leaderLastHeardMs;

  /** Whether no active planner is known, so that the group is polled more often. */
  boolean plannerMissing = true;

  boolean electionInProgress;

  /** Earliest time of the next election, in milliseconds of the monotonic clock. */
  long nextElectionMs;

  /** Whether this entry instance has reported that it is ready to serve clients. */
  boolean ready;

  boolean stopping;

  StopDeadlines stopDeadlines = StopDeadlines.NOT_STOPPING;

  /** Next ticket for a call of another entry instance; above the tickets of clients' calls. */
  long nextTicket = 1L << 40;

  /**
   * Time with which that of each event is compared to notice a suspension: that of the first event,
   * or of the one at which a suspension was last noticed; null before the first.
   */
  @Nullable Now clockReference;

  private List<NodeEffect> effects = new ArrayList<>();

  /**
   * Creates the initial state of an entry instance of unknown size.
   *
   * @param name the instance's name
   */
  public Node(String name) {
    this(name, InstanceSize.UNKNOWN);
  }

  /**
   * Creates the initial state of an entry instance over a store with the usual limits.
   *
   * @param name the instance's name
   * @param size resources of the machine that the instance may use
   */
  public Node(String name, InstanceSize size) {
    this(name, size, StoreLimits.DEFAULT);
  }

  /**
   * Creates the initial state of an entry instance.
   *
   * @param name the instance's name
   * @param size resources of the machine that the instance may use
   * @param storeLimits limits of the store
   */
  public Node(String name, InstanceSize size, StoreLimits storeLimits) {
    this.name = name;
    this.size = size;
    this.storeLimits = storeLimits;
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
    effects.add(effect);
  }

  /**
   * Emits a log event.
   *
   * @param event name of the event
   * @param fields alternately the name and the value of each field
   */
  void logEvent(String event, String... fields) {
    Map<String, String> valuesByField = new LinkedHashMap<>();
    for (int i = 0; i + 1 < fields.length; i += 2) {
      valuesByField.put(fields[i], fields[i + 1]);
    }
    emit(new NodeEffect.Note(event, valuesByField));
  }

  List<NodeEffect> takeEffects() {
    List<NodeEffect> taken = effects;
    effects = new ArrayList<>();
    return taken;
  }
}
