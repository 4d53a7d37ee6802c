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
import dev.toucanstall.core.plan.Now;
import dev.toucanstall.core.plan.PlanEffect;
import dev.toucanstall.core.plan.PlanEvent;
import dev.toucanstall.core.plan.StoreResult;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Tests admission and delivery of calls, freshness of the configuration and changes of planners
 * from the view of one entry instance.
 */
final class NodeTest {

  private static final Address OTHER = new Address("10.0.0.2", 7000);
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

  private void tell(NodeEvent event) {
    effects.addAll(NodeReducer.reduce(node, event, new Now(nowMs, wallMs)));
  }

  private void pass(long millis) {
    nowMs += millis;
    wallMs += millis;
    tell(new NodeEvent.Tick());
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
    tell(new NodeEvent.CatalogRead(nowMs, catalog));
  }

  private void call(long ticket, ClientCall.Kind kind, String key, String path) {
    JobSpec spec = new JobSpec("", List.of(STEP), 1, 0, 0);
    tell(new NodeEvent.Called(ticket, new ClientCall(kind, "h", path, key, 3_000, spec, "")));
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

  private void readThatNobodyPlans() {
    tell(new NodeEvent.LeaderRead(null));
  }

  private void followOther(long epoch) {
    tell(new NodeEvent.LeaderRead(new Leader(epoch, "n2", OTHER)));
    tell(new NodeEvent.LinkUp(OTHER));
  }

  private static JobAnswer refused(Reason reason, long retryAfterMs) {
    return new JobAnswer.Refused(reason, retryAfterMs);
  }

  private boolean asked(long ticket) {
    return effects.stream()
        .anyMatch(e -> e instanceof NodeEffect.AskPeer a && a.ticket() == ticket);
  }

  @Test
  void callWithoutConfigurationIsRefusedAtOnce() {
    submit(1);
    assertThat(answer(1)).hasValue(refused(Reason.NOT_FRESH, 1_000));
  }

  @Test
  void callWithoutPlannerIsToldWhenToComeBack() {
    readCatalog(catalog(1, "key"));
    submit(1);
    assertThat(answer(1)).hasValue(refused(Reason.NO_PLANNER, 1_000));
  }

  @Test
  void unknownQueueKeyAndIdAreTold() {
    readCatalog(catalog(1, "key"));
    followOther(1);
    call(1, ClientCall.Kind.SHOW, "key", "/nowhere/" + JOB);
    call(2, ClientCall.Kind.SHOW, "wrong", "/q/" + JOB);
    call(3, ClientCall.Kind.SHOW, "key", "/q/short");
    assertThat(answer(1)).hasValue(refused(Reason.QUEUE_UNKNOWN, 0));
    assertThat(answer(2)).hasValue(refused(Reason.KEY_UNKNOWN, 0));
    assertThat(answer(3)).hasValue(refused(Reason.MALFORMED, 0));
  }

  @Test
  void withdrawnKeyIsDeadOnAnInstanceThatTheStoreRefuses() {
    readCatalog(catalog(1, "key"));
    followOther(1);
    pass(3_400);
    submit(1);
    assertThat(asked(1)).isTrue();
    pass(200);
    submit(2);
    assertThat(answer(2)).hasValue(refused(Reason.NOT_FRESH, 1_000));
    assertThat(effects).contains(new NodeEffect.SetReady(false));
  }

  @Test
  void freshnessCountsFromTheQuestionNotTheAnswer() {
    readCatalog(catalog(1, "key"));
    followOther(1);
    long asked = nowMs;
    pass(3_000);
    tell(new NodeEvent.CatalogRead(asked, null));
    pass(600);
    submit(1);
    assertThat(answer(1)).hasValue(refused(Reason.NOT_FRESH, 1_000));
  }

  @Test
  void suspendedMachineTrustsNothingThatItKnew() {
    readCatalog(catalog(1, "key"));
    followOther(1);
    wallMs += 4_000;
    submit(1);
    assertThat(answer(1)).hasValue(refused(Reason.NOT_FRESH, 1_000));
  }

  @Test
  void olderConfigurationNeverReplacesNewerOne() {
    readCatalog(catalog(2, "new"));
    readCatalog(catalog(1, "key"));
    followOther(1);
    submit(1);
    assertThat(answer(1)).hasValue(refused(Reason.KEY_UNKNOWN, 0));
  }

  @Test
  void callWhosePlannerIsLostGoesToTheNext() {
    readCatalog(catalog(1, "key"));
    followOther(1);
    submit(1);
    tell(new NodeEvent.LinkDown(OTHER, "reset"));
    assertThat(answer(1)).isEmpty();
    Address next = new Address("10.0.0.3", 7000);
    tell(new NodeEvent.LeaderRead(new Leader(2, "n3", next)));
    tell(new NodeEvent.LinkUp(next));
    assertThat(effects)
        .contains(
            new NodeEffect.AskPeer(
                next,
                1,
                new JobCall.Submit(JOB, "q", "a", new JobSpec("", List.of(STEP), 1, 0, 0))));
  }

  @Test
  void callThatMayHaveBeenStoredIsNeverCalledNotRun() {
    readCatalog(catalog(1, "key"));
    followOther(1);
    submit(1);
    tell(new NodeEvent.LinkDown(OTHER, "reset"));
    pass(3_000);
    assertThat(answer(1)).hasValue(new JobAnswer.Uncertain());
  }

  @Test
  void callThatNoPlannerTookGoesToTheNextOne() {
    readCatalog(catalog(1, "key"));
    followOther(1);
    submit(1);
    tell(new NodeEvent.PeerDeclined(OTHER, 1, false));
    assertThat(answer(1)).isEmpty();
    effects.clear();
    pass(700);
    followOther(2);
    assertThat(asked(1)).isTrue();
  }

  @Test
  void callThatNoPlannerTookIsRefusedOnceTheNextOneDoesNotCome() {
    readCatalog(catalog(1, "key"));
    followOther(1);
    submit(1);
    tell(new NodeEvent.PeerDeclined(OTHER, 1, false));
    pass(799);
    assertThat(answer(1)).isEmpty();
    pass(1);
    assertThat(answer(1)).hasValue(refused(Reason.NO_PLANNER, 1_000));
  }

  @Test
  void holderElectsItselfOnlyWhileThePlannerIsUnfit() {
    readCatalog(catalog(1, "key"));
    followOther(1);
    tell(new NodeEvent.PeerPonged(OTHER, true, false));
    tell(new NodeEvent.Joined(true));
    assertThat(effects).doesNotContain(new NodeEffect.Elect(1));
    tell(new NodeEvent.PeerPonged(OTHER, false, false));
    tell(new NodeEvent.Joined(true));
    assertThat(effects).contains(new NodeEffect.Elect(1));
  }

  private Map<String, String> noted(String event) {
    return effects.stream()
        .filter(e -> e instanceof NodeEffect.Note n && n.event().equals(event))
        .map(e -> ((NodeEffect.Note) e).fields())
        .findFirst()
        .orElseThrow();
  }

  /** Calls expired without a log event that shows which planner they had been sent to, and when. */
  @Test
  void callThatExpiresTellsWhoWasAskedAndHowLongAgo() {
    readCatalog(catalog(1, "key"));
    followOther(1);
    submit(7);
    pass(3_000);
    assertThat(noted("call-expired")).containsEntry("call", "submit " + JOB);
    assertThat(noted("call-expired")).containsEntry("account", "a");
    assertThat(noted("call-expired")).containsEntry("number", "7");
    assertThat(noted("call-expired")).containsEntry("age-ms", "3000");
    assertThat(noted("call-expired")).containsEntry("asked", OTHER.toString());
    assertThat(noted("call-expired")).containsEntry("asked-ago-ms", "3000");
    assertThat(noted("call-expired")).containsEntry("planner", "n2");
    assertThat(noted("call-expired")).containsEntry("link-up", "true");
  }

  /**
   * Calls were refused for lack of a planner without a log event that shows how long they waited.
   */
  @Test
  void callRefusedForWantOfPlannerTellsItsAge() {
    readCatalog(catalog(1, "key"));
    followOther(1);
    tell(new NodeEvent.LinkDown(OTHER, "gone"));
    submit(7);
    pass(800);
    assertThat(noted("call-refused")).containsEntry("age-ms", "800");
    assertThat(noted("call-refused")).containsEntry("asked", "");
    assertThat(noted("call-refused")).containsEntry("link-up", "false");
  }

  /** A planner became unreachable without a log event that shows when it was last heard. */
  @Test
  void plannerThatIsUnreachableIsToldWithItsSilence() {
    readCatalog(catalog(1, "key"));
    followOther(1);
    tell(new NodeEvent.PeerPonged(OTHER, true, false));
    submit(1);
    pass(900);
    tell(new NodeEvent.LinkDown(OTHER, "Read timed out"));
    assertThat(noted("planner-unreachable"))
        .containsExactly(
            "planner", "n2", "why", "Read timed out", "silent-ms", "900", "waiting-calls", "1");
  }

  /** An instance too small for planning was elected without a log event that shows its size. */
  @Test
  void electedPlannerTellsTheSizeOfItsInstance() {
    readCatalog(catalog(1, "key"));
    tell(new NodeEvent.Joined(true));
    tell(new NodeEvent.Elected(1, 7, List.of()));
    assertThat(noted("planner-elected"))
        .containsExactly(
            "epoch", "1", "records", "0", "cores", "0.36", "memory-mb", "330", "link-mbps", "7.0");
  }

  @Test
  void plannerThatTheStoreDoesNotConfirmSaysThatItIsUnfit() {
    readCatalog(catalog(1, "key"));
    tell(new NodeEvent.Joined(true));
    tell(new NodeEvent.Elected(1, 7, List.of()));
    tell(new NodeEvent.PeerPinged(4, 1));
    assertThat(effects).contains(new NodeEffect.AnswerPing(4, true, false));
    effects.clear();
    pass(1_301);
    tell(new NodeEvent.PeerPinged(4, 1));
    assertThat(effects).contains(new NodeEffect.AnswerPing(4, false, false));
  }

  @Test
  void refusalOfReplacedPlannerDoesNotReachTheCaller() {
    readCatalog(catalog(1, "key"));
    followOther(1);
    submit(1);
    tell(new NodeEvent.PeerPonged(OTHER, false, false));
    tell(new NodeEvent.Joined(true));
    tell(new NodeEvent.Elected(2, 7, List.of()));
    tell(new NodeEvent.PeerAnswered(OTHER, 1, refused(Reason.NO_PLANNER, 1_000)));
    tell(new NodeEvent.PeerDeclined(OTHER, 1, false));
    pass(20);
    assertThat(answer(1)).isEmpty();
  }

  @Test
  void plannerThatIsReplacedDeclinesWhatItTook() {
    readCatalog(catalog(1, "key"));
    tell(new NodeEvent.Joined(true));
    tell(new NodeEvent.Elected(1, 7, List.of()));
    JobSpec spec = new JobSpec("", List.of(STEP), 1, 0, 0);
    tell(new NodeEvent.PeerAsked(4, 9, new JobCall.Submit(JOB, "q", "a", spec)));
    pass(20);
    sendFencedAppend();
    assertThat(effects).contains(new NodeEffect.DeclinePeer(4, 9, true));
    assertThat(node.isPlanner()).isFalse();
  }

  private NodeEffect.AnswerPing pingForOneSecond(double cores) {
    for (int i = 0; i < 5; i++) {
      tell(new NodeEvent.PeerPinged(4, cores));
      pass(200);
    }
    effects.clear();
    tell(new NodeEvent.PeerPinged(4, cores));
    return effects.stream()
        .filter(e -> e instanceof NodeEffect.AnswerPing)
        .map(e -> (NodeEffect.AnswerPing) e)
        .findFirst()
        .orElseThrow();
  }

  /** The smallest instance stayed the planner and slowed the service down despite larger ones. */
  @Test
  void plannerAsksMuchLargerInstanceToPlan() {
    readCatalog(catalog(1, "key"));
    tell(new NodeEvent.Joined(true));
    tell(new NodeEvent.Elected(1, 7, List.of()));
    assertThat(pingForOneSecond(0.5).yields()).isFalse();
    assertThat(pingForOneSecond(0.75).yields()).isTrue();
  }

  /** The smallest instance stayed the planner and slowed the service down despite larger ones. */
  @Test
  void instanceThatIsAskedToPlanElectsItself() {
    readCatalog(catalog(1, "key"));
    followOther(3);
    tell(new NodeEvent.PeerPonged(OTHER, true, false));
    assertThat(effects).doesNotContain(new NodeEffect.Elect(3));
    tell(new NodeEvent.PeerPonged(OTHER, true, true));
    assertThat(effects).contains(new NodeEffect.Elect(3));
  }

  @Test
  void instanceThatIsStoppingOrKnowsNoConfigurationDoesNotPlanInPlaceOfAnother() {
    followOther(3);
    tell(new NodeEvent.PeerPonged(OTHER, true, true));
    readCatalog(catalog(1, "key"));
    tell(new NodeEvent.StopAsked(6_000));
    tell(new NodeEvent.PeerPonged(OTHER, true, true));
    assertThat(effects).doesNotContain(new NodeEffect.Elect(3));
  }

  /**
   * The smallest instance replaced a working planner in the 8 ms between linking to it and
   * receiving its first report.
   */
  @Test
  void holderDoesNotReplacePlannerThatItHasJustLinkedTo() {
    readCatalog(catalog(1, "key"));
    tell(new NodeEvent.LeaderRead(new Leader(3, "n2", OTHER)));
    tell(new NodeEvent.Joined(true));
    tell(new NodeEvent.LinkUp(OTHER));
    pass(8);
    tell(new NodeEvent.Joined(true));
    assertThat(effects).doesNotContain(new NodeEffect.Elect(3));
    pass(1_000);
    tell(new NodeEvent.Joined(true));
    assertThat(effects).contains(new NodeEffect.Elect(3));
  }

  @Test
  void holderReplacesNamedPlannerThatItCannotLinkTo() {
    readCatalog(catalog(1, "key"));
    tell(new NodeEvent.LeaderRead(new Leader(3, "n2", OTHER)));
    tell(new NodeEvent.LinkDown(OTHER, "refused"));
    tell(new NodeEvent.Joined(true));
    assertThat(effects).contains(new NodeEffect.Elect(3));
  }

  /** A planner that had been replaced elected itself again before its successor was named. */
  @Test
  void plannerThatIsReplacedWaitsForItsSuccessorToBeNamed() {
    readCatalog(catalog(1, "key"));
    readThatNobodyPlans();
    tell(new NodeEvent.Joined(true));
    tell(new NodeEvent.Elected(1, 7, List.of()));
    effects.clear();
    pass(700);
    sendFencedAppend();
    assertThat(node.isPlanner()).isFalse();
    tell(new NodeEvent.Joined(true));
    assertThat(effects).doesNotContain(new NodeEffect.Elect(0));
    pass(1_000);
    tell(new NodeEvent.Joined(true));
    assertThat(effects).contains(new NodeEffect.Elect(0));
  }

  private void sendFencedAppend() {
    PlanEffect.Append append =
        effects.stream()
            .filter(
                e -> e instanceof NodeEffect.OfPlan p && p.effect() instanceof PlanEffect.Append)
            .map(e -> (PlanEffect.Append) ((NodeEffect.OfPlan) e).effect())
            .findFirst()
            .orElseThrow();
    tell(
        new NodeEvent.ForPlan(
            1, new PlanEvent.Appended(append.sequence(), nowMs, StoreResult.FENCED)));
  }

  /** After a link had not accepted one call, no call was sent to that working planner any more. */
  @Test
  void callThatItsLinkDidNotTakeIsSentAgain() {
    readCatalog(catalog(1, "key"));
    followOther(1);
    submit(1);
    tell(new NodeEvent.AskUnsent(OTHER, 1));
    effects.clear();
    pass(100);
    assertThat(asked(1)).isTrue();
    submit(2);
    assertThat(asked(2)).isTrue();
  }

  /** The link to a planner stays up even if the planner's reducer is stuck. */
  @Test
  void plannerThatNoLongerTellsThatItPlansIsReplaced() {
    readCatalog(catalog(1, "key"));
    followOther(1);
    tell(new NodeEvent.PeerPonged(OTHER, true, false));
    pass(1_900);
    tell(new NodeEvent.Joined(true));
    assertThat(effects).doesNotContain(new NodeEffect.Elect(1));
    pass(200);
    tell(new NodeEvent.Joined(true));
    assertThat(effects).contains(new NodeEffect.Elect(1));
  }

  /** The smallest instance replaced a working planner because it had not read yet who that was. */
  @Test
  void holderDoesNotElectItselfBeforeItHasReadWhoPlans() {
    readCatalog(catalog(1, "key"));
    tell(new NodeEvent.Joined(true));
    assertThat(effects).doesNotContain(new NodeEffect.Elect(0));
    readThatNobodyPlans();
    tell(new NodeEvent.Joined(true));
    assertThat(effects).contains(new NodeEffect.Elect(0));
  }

  /** A late report of the previous planner made the smallest instance replace the next one. */
  @Test
  void wordOfAnEarlierPlannerTellsNothingOfTheNextOne() {
    readCatalog(catalog(1, "key"));
    followOther(3);
    Address next = new Address("10.0.0.3", 7000);
    tell(new NodeEvent.LeaderRead(new Leader(4, "n3", next)));
    tell(new NodeEvent.PeerPonged(OTHER, false, true));
    tell(new NodeEvent.Joined(true));
    assertThat(effects).doesNotContain(new NodeEffect.Elect(4));
  }

  /** The smallest instance took over from a large planner that stopped. */
  @Test
  void plannerThatStopsAsksTheLargestInstanceAndSaysThatItPlansMeanwhile() {
    readCatalog(catalog(1, "key"));
    tell(new NodeEvent.Elected(1, 7, List.of()));
    assertThat(pingForOneSecond(0.36).yields()).isFalse();
    tell(new NodeEvent.StopAsked(6_000));
    effects.clear();
    tell(new NodeEvent.PeerPinged(4, 0.36));
    assertThat(effects).contains(new NodeEffect.AnswerPing(4, true, true));
    pass(750);
    tell(new NodeEvent.PeerPinged(4, 0.36));
    assertThat(effects).contains(new NodeEffect.AnswerPing(4, false, true));
  }

  /** A newly elected planner was fenced by an instance that had begun its own election earlier. */
  @Test
  void instanceThatLosesAnElectionFollowsTheHolderOfTheLaterEpoch() {
    readCatalog(catalog(1, "key"));
    readThatNobodyPlans();
    tell(new NodeEvent.Joined(true));
    tell(new NodeEvent.NotElected("an instance has a later epoch", new Leader(4, "n2", OTHER)));
    assertThat(effects).contains(new NodeEffect.Follow(OTHER));
    effects.clear();
    pass(200);
    tell(new NodeEvent.Joined(true));
    assertThat(effects).doesNotContain(new NodeEffect.Elect(4));
    pass(1_000);
    tell(new NodeEvent.Joined(true));
    assertThat(effects).contains(new NodeEffect.Elect(4));
  }

  /** A working planner was replaced because its link to the candidate broke once. */
  @Test
  void holderDoesNotReplacePlannerForOneBrokenLink() {
    readCatalog(catalog(1, "key"));
    followOther(3);
    tell(new NodeEvent.PeerPonged(OTHER, true, false));
    tell(new NodeEvent.LinkDown(OTHER, "reset"));
    tell(new NodeEvent.Joined(true));
    assertThat(effects).doesNotContain(new NodeEffect.Elect(3));
    tell(new NodeEvent.LinkDown(OTHER, "refused"));
    tell(new NodeEvent.Joined(true));
    assertThat(effects).contains(new NodeEffect.Elect(3));
  }
}
