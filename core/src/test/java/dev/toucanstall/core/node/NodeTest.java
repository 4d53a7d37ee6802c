package dev.toucanstall.core.node;

import static com.google.common.truth.Truth.assertThat;

import dev.toucanstall.core.job.Account;
import dev.toucanstall.core.job.Catalog;
import dev.toucanstall.core.job.JobAnswer;
import dev.toucanstall.core.job.JobAnswer.Reason;
import dev.toucanstall.core.job.JobCall;
import dev.toucanstall.core.job.JobSpec;
import dev.toucanstall.core.job.Queue;
import dev.toucanstall.core.job.Resources;
import dev.toucanstall.core.job.StepSpec;
import dev.toucanstall.core.model.Address;
import dev.toucanstall.core.model.InstanceSize;
import dev.toucanstall.core.model.StoreLimits;
import dev.toucanstall.core.plan.Now;
import dev.toucanstall.core.plan.PlanEffect;
import dev.toucanstall.core.plan.PlanEvent;
import dev.toucanstall.core.plan.StoreResult;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Tests admission and delivery of calls, freshness of the configuration and changes of planners
 * from the view of one entry instance.
 */
final class NodeTest {

  private static final Address PLANNER = new Address("10.0.0.2", 7000);
  private static final StepSpec STEP =
      new StepSpec(
          1,
          new Resources(1, 1, 0),
          0,
          List.of(),
          false,
          false,
          false,
          "",
          "",
          0,
          false,
          false,
          "",
          0,
          false,
          0);
  private static final String JOB = "0123456789abcdef";

  private final Node node = new Node("n1", new InstanceSize(0.36, 330, 7));
  private final List<NodeEffect> effects = new ArrayList<>();
  private long nowMs = 1_000_000;
  private long wallMs = 5_000_000;

  private void handle(NodeEvent event) {
    effects.addAll(NodeReducer.reduce(node, event, new Now(nowMs, wallMs)));
  }

  private void advance(long millis) {
    nowMs += millis;
    wallMs += millis;
    handle(new NodeEvent.Tick());
  }

  private static Catalog catalog(long version, String key) {
    Queue queue = new Queue("q", "h", "/q/", "s", 0, 3, 2, 600, false, false);
    return Catalog.of(
        version,
        List.of(queue),
        List.of(new Account("a", Set.of(key), 1, Resources.NONE)),
        Set.of());
  }

  private void readCatalog(Catalog catalog) {
    handle(new NodeEvent.CatalogRead(nowMs, catalog));
  }

  private void call(long ticket, ClientCall.Kind kind, String key, String path) {
    JobSpec spec = new JobSpec("", List.of(STEP), 1, 0, 0);
    handle(new NodeEvent.Called(ticket, new ClientCall(kind, "h", path, key, 3_000, spec, "")));
  }

  private void submit(long ticket) {
    call(ticket, ClientCall.Kind.SUBMIT, "key", "/q/" + JOB);
  }

  private Optional<JobAnswer> answer(long ticket) {
    return effects.stream()
        .filter(e -> e instanceof NodeEffect.Answer a && a.ticket() == ticket)
        .map(e -> ((NodeEffect.Answer) e).answer())
        .findFirst();
  }

  private void readThatThereIsNoPlanner() {
    handle(new NodeEvent.LeaderRead(null));
  }

  private void followPlanner(long epoch) {
    handle(new NodeEvent.LeaderRead(new Leader(epoch, "n2", PLANNER)));
    handle(new NodeEvent.LinkUp(PLANNER));
  }

  private static JobAnswer refusal(Reason reason, long retryAfterMs) {
    return new JobAnswer.Refused(reason, retryAfterMs);
  }

  private boolean sentToPlanner(long ticket) {
    return effects.stream()
        .anyMatch(e -> e instanceof NodeEffect.AskPeer a && a.ticket() == ticket);
  }

  @Test
  void callWithoutConfigurationIsRefusedAtOnce() {
    submit(1);
    assertThat(answer(1)).hasValue(refusal(Reason.NOT_FRESH, 1_000));
  }

  @Test
  void callWithoutPlannerIsRefusedWithRetryDelay() {
    readCatalog(catalog(1, "key"));
    submit(1);
    assertThat(answer(1)).hasValue(refusal(Reason.NO_PLANNER, 1_000));
  }

  @Test
  void unknownQueueUnknownKeyAndMalformedIdAreRefused() {
    readCatalog(catalog(1, "key"));
    followPlanner(1);
    call(1, ClientCall.Kind.SHOW, "key", "/nowhere/" + JOB);
    call(2, ClientCall.Kind.SHOW, "wrong", "/q/" + JOB);
    call(3, ClientCall.Kind.SHOW, "key", "/q/short");
    assertThat(answer(1)).hasValue(refusal(Reason.QUEUE_UNKNOWN, 0));
    assertThat(answer(2)).hasValue(refusal(Reason.KEY_UNKNOWN, 0));
    assertThat(answer(3)).hasValue(refusal(Reason.MALFORMED, 0));
  }

  @Test
  void withdrawnKeyIsInvalidOnInstanceCutOffFromTheStore() {
    readCatalog(catalog(1, "key"));
    followPlanner(1);
    advance(3_400);
    submit(1);
    assertThat(sentToPlanner(1)).isTrue();
    advance(200);
    submit(2);
    assertThat(answer(2)).hasValue(refusal(Reason.NOT_FRESH, 1_000));
    assertThat(effects).contains(new NodeEffect.SetReady(false));
  }

  @Test
  void freshnessCountsFromTheRequestNotTheAnswer() {
    readCatalog(catalog(1, "key"));
    followPlanner(1);
    long requestedMs = nowMs;
    advance(3_000);
    handle(new NodeEvent.CatalogRead(requestedMs, null));
    advance(600);
    submit(1);
    assertThat(answer(1)).hasValue(refusal(Reason.NOT_FRESH, 1_000));
  }

  @Test
  void configurationIsOutdatedAfterSuspension() {
    readCatalog(catalog(1, "key"));
    followPlanner(1);
    wallMs += 4_000;
    submit(1);
    assertThat(answer(1)).hasValue(refusal(Reason.NOT_FRESH, 1_000));
  }

  @Test
  void olderConfigurationNeverReplacesNewerOne() {
    readCatalog(catalog(2, "new"));
    readCatalog(catalog(1, "key"));
    followPlanner(1);
    submit(1);
    assertThat(answer(1)).hasValue(refusal(Reason.KEY_UNKNOWN, 0));
  }

  @Test
  void callOfLostPlannerIsSentToNextPlanner() {
    readCatalog(catalog(1, "key"));
    followPlanner(1);
    submit(1);
    handle(new NodeEvent.LinkDown(PLANNER, "reset"));
    assertThat(answer(1)).isEmpty();
    Address next = new Address("10.0.0.3", 7000);
    handle(new NodeEvent.LeaderRead(new Leader(2, "n3", next)));
    handle(new NodeEvent.LinkUp(next));
    assertThat(effects)
        .contains(
            new NodeEffect.AskPeer(
                next,
                1,
                new JobCall.Submit(JOB, "q", "a", new JobSpec("", List.of(STEP), 1, 0, 0))));
  }

  @Test
  void callThatMayHaveBeenStoredIsAnsweredAsUncertain() {
    readCatalog(catalog(1, "key"));
    followPlanner(1);
    submit(1);
    handle(new NodeEvent.LinkDown(PLANNER, "reset"));
    advance(3_000);
    assertThat(answer(1)).hasValue(new JobAnswer.Uncertain());
  }

  /**
   * Guards against a refused job that runs: the call was sent again over another link, its second
   * copy is refused, and the first one, which arrives later, is accepted.
   */
  @Test
  void refusalOfRepeatedCallIsAnsweredAsUncertain() {
    readCatalog(catalog(1, "key"));
    followPlanner(1);
    submit(1);
    handle(new NodeEvent.LinkDown(PLANNER, "Read timed out"));
    handle(new NodeEvent.LinkUp(PLANNER));
    handle(new NodeEvent.PeerAnswered(PLANNER, 1, refusal(Reason.NO_PLANNER, 1_000)));
    assertThat(answer(1)).hasValue(new JobAnswer.Uncertain());
  }

  /** Guards against the same if this instance plans by the time of the refusal. */
  @Test
  void refusalByOwnPlannerOfCallThatAnotherMayStoreIsAnsweredAsUncertain() {
    readCatalog(catalog(1, "key"));
    followPlanner(1);
    submit(1);
    readCatalog(Catalog.of(2, List.of(), List.of(), Set.of()));
    handle(new NodeEvent.LinkDown(PLANNER, "reset"));
    handle(new NodeEvent.Elected(2, 1, List.of()));
    assertThat(answer(1)).hasValue(new JobAnswer.Uncertain());
  }

  /** Guards against dropping the answer of a planner that stored a job before it was replaced. */
  @Test
  void acceptanceByReplacedPlannerReachesClient() {
    readCatalog(catalog(1, "key"));
    followPlanner(1);
    submit(1);
    handle(new NodeEvent.LeaderRead(new Leader(2, "n3", new Address("10.0.0.3", 7000))));
    handle(new NodeEvent.PeerAnswered(PLANNER, 1, new JobAnswer.Accepted()));
    assertThat(answer(1)).hasValue(new JobAnswer.Accepted());
  }

  /** Guards against accepting a job whose record the store does not take. */
  @Test
  void jobWithTooLargeRecordIsRefusedAtOnceWithTheLimit() {
    Node small = new Node("n1", InstanceSize.UNKNOWN, new StoreLimits(3_000, 100_000));
    JobSpec fits = new JobSpec("x".repeat(300), List.of(STEP), 1, 0, 0);
    JobSpec tooLarge = new JobSpec("x".repeat(3_000), List.of(STEP), 1, 0, 0);
    Now now = new Now(nowMs, wallMs);
    NodeReducer.reduce(small, new NodeEvent.CatalogRead(nowMs, catalog(1, "key")), now);
    for (JobSpec spec : List.of(fits, tooLarge)) {
      ClientCall call =
          new ClientCall(ClientCall.Kind.SUBMIT, "h", "/q/" + JOB, "key", 3_000, spec, "");
      effects.addAll(NodeReducer.reduce(small, new NodeEvent.Called(1, call), now));
    }
    assertThat(effects).contains(new NodeEffect.Answer(1, refusal(Reason.NO_PLANNER, 1_000)));
    assertThat(effects).contains(new NodeEffect.Answer(1, new JobAnswer.TooLarge(3_000)));
  }

  /**
   * Guards against a planner that goes on with a state which a decision left half changed when it
   * threw.
   */
  @Test
  void plannerWhoseDecisionThrowsResignsAndLetsOthersPlan() {
    readCatalog(catalog(1, "key"));
    readThatThereIsNoPlanner();
    handle(new NodeEvent.Elected(1, 1, List.of()));
    Objects.requireNonNull(NodeInternals.planOf(node))
        .setProbe(
            part -> {
              throw new IllegalStateException("broken");
            });
    advance(20);
    assertThat(node.isPlanner()).isFalse();
    assertThat(effects).contains(new NodeEffect.EndTerm());
    advance(1_500);
    effects.clear();
    handle(new NodeEvent.Joined(true));
    assertThat(effects.stream().anyMatch(e -> e instanceof NodeEffect.Elect)).isFalse();
    advance(1_500);
    handle(new NodeEvent.Joined(true));
    assertThat(effects.stream().anyMatch(e -> e instanceof NodeEffect.Elect)).isTrue();
  }

  @Test
  void declinedCallIsSentToNextPlanner() {
    readCatalog(catalog(1, "key"));
    followPlanner(1);
    submit(1);
    handle(new NodeEvent.PeerDeclined(PLANNER, 1, false));
    assertThat(answer(1)).isEmpty();
    effects.clear();
    advance(700);
    followPlanner(2);
    assertThat(sentToPlanner(1)).isTrue();
  }

  @Test
  void declinedCallIsRefusedIfNoNextPlannerComesInTime() {
    readCatalog(catalog(1, "key"));
    followPlanner(1);
    submit(1);
    handle(new NodeEvent.PeerDeclined(PLANNER, 1, false));
    advance(799);
    assertThat(answer(1)).isEmpty();
    advance(1);
    assertThat(answer(1)).hasValue(refusal(Reason.NO_PLANNER, 1_000));
  }

  @Test
  void candidateStartsElectionOnlyWhilePlannerReportsInactive() {
    readCatalog(catalog(1, "key"));
    followPlanner(1);
    handle(new NodeEvent.PeerPonged(PLANNER, true, false));
    handle(new NodeEvent.Joined(true));
    assertThat(effects).doesNotContain(new NodeEffect.Elect(1));
    handle(new NodeEvent.PeerPonged(PLANNER, false, false));
    handle(new NodeEvent.Joined(true));
    assertThat(effects).contains(new NodeEffect.Elect(1));
  }

  private Map<String, String> loggedFields(String event) {
    return effects.stream()
        .filter(e -> e instanceof NodeEffect.Note n && n.event().equals(event))
        .map(e -> ((NodeEffect.Note) e).fields())
        .findFirst()
        .orElseThrow();
  }

  /** Guards against expired calls whose log event lacks the planner or the time since sending. */
  @Test
  void expiredCallIsLoggedWithPlannerAndTimeSinceSent() {
    readCatalog(catalog(1, "key"));
    followPlanner(1);
    submit(7);
    advance(3_000);
    assertThat(loggedFields("call-expired")).containsEntry("call", "submit " + JOB);
    assertThat(loggedFields("call-expired")).containsEntry("account", "a");
    assertThat(loggedFields("call-expired")).containsEntry("number", "7");
    assertThat(loggedFields("call-expired")).containsEntry("age-ms", "3000");
    assertThat(loggedFields("call-expired")).containsEntry("asked", PLANNER.toString());
    assertThat(loggedFields("call-expired")).containsEntry("asked-ago-ms", "3000");
    assertThat(loggedFields("call-expired")).containsEntry("planner", "n2");
    assertThat(loggedFields("call-expired")).containsEntry("link-up", "true");
  }

  /** Guards against a log event of a call refused for lack of a planner without the call's age. */
  @Test
  void refusedCallIsLoggedWithAge() {
    readCatalog(catalog(1, "key"));
    followPlanner(1);
    handle(new NodeEvent.LinkDown(PLANNER, "gone"));
    submit(7);
    advance(800);
    assertThat(loggedFields("call-refused")).containsEntry("age-ms", "800");
    assertThat(loggedFields("call-refused")).containsEntry("asked", "");
    assertThat(loggedFields("call-refused")).containsEntry("link-up", "false");
  }

  /** Guards against an unreachable planner whose log event lacks the time since its last report. */
  @Test
  void unreachablePlannerIsLoggedWithTimeSinceLastReport() {
    readCatalog(catalog(1, "key"));
    followPlanner(1);
    handle(new NodeEvent.PeerPonged(PLANNER, true, false));
    submit(1);
    advance(900);
    handle(new NodeEvent.LinkDown(PLANNER, "Read timed out"));
    assertThat(loggedFields("planner-unreachable"))
        .containsExactly(
            "planner", "n2", "why", "Read timed out", "silent-ms", "900", "waiting-calls", "1");
  }

  /** Guards against an unnoticed election of an instance that is too small for planning. */
  @Test
  void electedPlannerIsLoggedWithInstanceSize() {
    readCatalog(catalog(1, "key"));
    handle(new NodeEvent.Joined(true));
    handle(new NodeEvent.Elected(1, 7, List.of()));
    assertThat(loggedFields("planner-elected"))
        .containsExactly(
            "epoch", "1", "records", "0", "cores", "0.36", "memory-mb", "330", "link-mbps", "7.0");
  }

  /**
   * Guards against a planner that stood still between its claim and the start of its term, and acts
   * as if the store had confirmed it just now.
   */
  @Test
  void electionThatIsHandledLateGivesNoPermission() {
    readCatalog(catalog(1, "key"));
    handle(new NodeEvent.Joined(true));
    handle(new NodeEvent.Elected(1, 7, List.of(), 0, nowMs - 4_000, 5));
    handle(new NodeEvent.PeerPinged(4, 1));
    assertThat(effects).contains(new NodeEffect.AnswerPing(4, false, false, -1, 4_000));
  }

  @Test
  void unconfirmedPlannerReportsInactive() {
    readCatalog(catalog(1, "key"));
    handle(new NodeEvent.Joined(true));
    handle(new NodeEvent.Elected(1, 7, List.of()));
    handle(new NodeEvent.PeerPinged(4, 1));
    assertThat(effects).contains(new NodeEffect.AnswerPing(4, true, false, -1, 0));
    effects.clear();
    advance(1_301);
    handle(new NodeEvent.PeerPinged(4, 1));
    assertThat(effects).contains(new NodeEffect.AnswerPing(4, false, false, -1, 1_301));
  }

  @Test
  void refusalByReplacedPlannerDoesNotReachClient() {
    readCatalog(catalog(1, "key"));
    followPlanner(1);
    submit(1);
    handle(new NodeEvent.PeerPonged(PLANNER, false, false));
    handle(new NodeEvent.Joined(true));
    handle(new NodeEvent.Elected(2, 7, List.of()));
    handle(new NodeEvent.PeerAnswered(PLANNER, 1, refusal(Reason.NO_PLANNER, 1_000)));
    handle(new NodeEvent.PeerDeclined(PLANNER, 1, false));
    advance(20);
    assertThat(answer(1)).isEmpty();
  }

  @Test
  void replacedPlannerDeclinesAcceptedCalls() {
    readCatalog(catalog(1, "key"));
    handle(new NodeEvent.Joined(true));
    handle(new NodeEvent.Elected(1, 7, List.of()));
    JobSpec spec = new JobSpec("", List.of(STEP), 1, 0, 0);
    handle(new NodeEvent.PeerAsked(4, 9, new JobCall.Submit(JOB, "q", "a", spec)));
    advance(20);
    fenceFirstAppend();
    assertThat(effects).contains(new NodeEffect.DeclinePeer(4, 9, true));
    assertThat(node.isPlanner()).isFalse();
  }

  private NodeEffect.AnswerPing pingForOneSecond(double cores) {
    for (int i = 0; i < 5; i++) {
      handle(new NodeEvent.PeerPinged(4, cores));
      advance(200);
    }
    effects.clear();
    handle(new NodeEvent.PeerPinged(4, cores));
    return effects.stream()
        .filter(e -> e instanceof NodeEffect.AnswerPing)
        .map(e -> (NodeEffect.AnswerPing) e)
        .findFirst()
        .orElseThrow();
  }

  /**
   * Guards against low throughput because the smallest instance stays the planner despite much
   * larger ones.
   */
  @Test
  void plannerYieldsToMuchLargerInstance() {
    readCatalog(catalog(1, "key"));
    handle(new NodeEvent.Joined(true));
    handle(new NodeEvent.Elected(1, 7, List.of()));
    assertThat(pingForOneSecond(0.5).yields()).isFalse();
    assertThat(pingForOneSecond(0.75).yields()).isTrue();
  }

  /**
   * Guards against low throughput because the smallest instance stays the planner despite much
   * larger ones.
   */
  @Test
  void instanceThatPlannerYieldsToStartsElection() {
    readCatalog(catalog(1, "key"));
    followPlanner(3);
    handle(new NodeEvent.PeerPonged(PLANNER, true, false));
    assertThat(effects).doesNotContain(new NodeEffect.Elect(3));
    handle(new NodeEvent.PeerPonged(PLANNER, true, true));
    assertThat(effects).contains(new NodeEffect.Elect(3));
  }

  @Test
  void stoppingOrUnconfiguredInstanceStartsNoElection() {
    followPlanner(3);
    handle(new NodeEvent.PeerPonged(PLANNER, true, true));
    readCatalog(catalog(1, "key"));
    handle(new NodeEvent.StopAsked(6_000));
    handle(new NodeEvent.PeerPonged(PLANNER, true, true));
    assertThat(effects).doesNotContain(new NodeEffect.Elect(3));
  }

  /**
   * Guards against replacing a working planner in the 8 ms between linking to it and its first
   * report.
   */
  @Test
  void candidateDoesNotReplaceNewlyLinkedPlanner() {
    readCatalog(catalog(1, "key"));
    handle(new NodeEvent.LeaderRead(new Leader(3, "n2", PLANNER)));
    handle(new NodeEvent.Joined(true));
    handle(new NodeEvent.LinkUp(PLANNER));
    advance(8);
    handle(new NodeEvent.Joined(true));
    assertThat(effects).doesNotContain(new NodeEffect.Elect(3));
    advance(1_000);
    handle(new NodeEvent.Joined(true));
    assertThat(effects).contains(new NodeEffect.Elect(3));
  }

  @Test
  void candidateReplacesPlannerThatItCannotLinkTo() {
    readCatalog(catalog(1, "key"));
    handle(new NodeEvent.LeaderRead(new Leader(3, "n2", PLANNER)));
    handle(new NodeEvent.LinkDown(PLANNER, "refused"));
    handle(new NodeEvent.Joined(true));
    assertThat(effects).contains(new NodeEffect.Elect(3));
  }

  /** Guards against a replaced planner that elects itself again before its successor is named. */
  @Test
  void replacedPlannerWaitsForSuccessorToBeNamed() {
    readCatalog(catalog(1, "key"));
    readThatThereIsNoPlanner();
    handle(new NodeEvent.Joined(true));
    handle(new NodeEvent.Elected(1, 7, List.of()));
    effects.clear();
    advance(700);
    fenceFirstAppend();
    assertThat(node.isPlanner()).isFalse();
    handle(new NodeEvent.Joined(true));
    assertThat(effects).doesNotContain(new NodeEffect.Elect(0));
    advance(1_000);
    handle(new NodeEvent.Joined(true));
    assertThat(effects).contains(new NodeEffect.Elect(0));
  }

  private void fenceFirstAppend() {
    PlanEffect.Append append =
        effects.stream()
            .filter(
                e -> e instanceof NodeEffect.OfPlan p && p.effect() instanceof PlanEffect.Append)
            .map(e -> (PlanEffect.Append) ((NodeEffect.OfPlan) e).effect())
            .findFirst()
            .orElseThrow();
    handle(
        new NodeEvent.ForPlan(
            1, new PlanEvent.Appended(append.sequence(), nowMs, StoreResult.FENCED)));
  }

  /**
   * Guards against sending no more calls to a working planner after its link did not accept one.
   */
  @Test
  void callThatLinkDidNotAcceptIsSentAgain() {
    readCatalog(catalog(1, "key"));
    followPlanner(1);
    submit(1);
    handle(new NodeEvent.AskUnsent(PLANNER, 1));
    effects.clear();
    advance(100);
    assertThat(sentToPlanner(1)).isTrue();
    submit(2);
    assertThat(sentToPlanner(2)).isTrue();
  }

  /** Guards against keeping a planner whose reducer is stuck while its link stays up. */
  @Test
  void plannerWithoutRecentReportIsReplaced() {
    readCatalog(catalog(1, "key"));
    followPlanner(1);
    handle(new NodeEvent.PeerPonged(PLANNER, true, false));
    advance(1_900);
    handle(new NodeEvent.Joined(true));
    assertThat(effects).doesNotContain(new NodeEffect.Elect(1));
    advance(200);
    handle(new NodeEvent.Joined(true));
    assertThat(effects).contains(new NodeEffect.Elect(1));
  }

  /**
   * Guards against replacing a working planner that the candidate has not read from the store yet.
   */
  @Test
  void candidateStartsNoElectionBeforeReadingWhoIsPlanner() {
    readCatalog(catalog(1, "key"));
    handle(new NodeEvent.Joined(true));
    assertThat(effects).doesNotContain(new NodeEffect.Elect(0));
    readThatThereIsNoPlanner();
    handle(new NodeEvent.Joined(true));
    assertThat(effects).contains(new NodeEffect.Elect(0));
  }

  /** Guards against replacing a planner because of a late report of the previous one. */
  @Test
  void reportOfEarlierPlannerIsIgnored() {
    readCatalog(catalog(1, "key"));
    followPlanner(3);
    Address next = new Address("10.0.0.3", 7000);
    handle(new NodeEvent.LeaderRead(new Leader(4, "n3", next)));
    handle(new NodeEvent.PeerPonged(PLANNER, false, true));
    handle(new NodeEvent.Joined(true));
    assertThat(effects).doesNotContain(new NodeEffect.Elect(4));
  }

  /** Guards against the smallest instance taking over from a large planner that stops. */
  @Test
  void stoppingPlannerYieldsToLargestInstanceAndReportsPlanningMeanwhile() {
    readCatalog(catalog(1, "key"));
    handle(new NodeEvent.Elected(1, 7, List.of()));
    assertThat(pingForOneSecond(0.36).yields()).isFalse();
    handle(new NodeEvent.StopAsked(6_000));
    effects.clear();
    handle(new NodeEvent.PeerPinged(4, 0.36));
    assertThat(effects).contains(new NodeEffect.AnswerPing(4, true, true, -1, 1_000));
    advance(750);
    handle(new NodeEvent.PeerPinged(4, 0.36));
    assertThat(effects).contains(new NodeEffect.AnswerPing(4, false, true, -1, 1_750));
  }

  /**
   * Guards against the fencing of a newly elected planner by an instance whose own election began
   * earlier.
   */
  @Test
  void loserOfElectionFollowsPlannerOfLaterEpoch() {
    readCatalog(catalog(1, "key"));
    readThatThereIsNoPlanner();
    handle(new NodeEvent.Joined(true));
    handle(new NodeEvent.NotElected("an instance has a later epoch", new Leader(4, "n2", PLANNER)));
    assertThat(effects).contains(new NodeEffect.Follow(PLANNER));
    effects.clear();
    advance(200);
    handle(new NodeEvent.Joined(true));
    assertThat(effects).doesNotContain(new NodeEffect.Elect(4));
    advance(1_000);
    handle(new NodeEvent.Joined(true));
    assertThat(effects).contains(new NodeEffect.Elect(4));
  }

  /** Guards against replacing a working planner because its link to the candidate broke once. */
  @Test
  void candidateDoesNotReplacePlannerForOneBrokenLink() {
    readCatalog(catalog(1, "key"));
    followPlanner(3);
    handle(new NodeEvent.PeerPonged(PLANNER, true, false));
    handle(new NodeEvent.LinkDown(PLANNER, "reset"));
    handle(new NodeEvent.Joined(true));
    assertThat(effects).doesNotContain(new NodeEffect.Elect(3));
    handle(new NodeEvent.LinkDown(PLANNER, "refused"));
    handle(new NodeEvent.Joined(true));
    assertThat(effects).contains(new NodeEffect.Elect(3));
  }
}
