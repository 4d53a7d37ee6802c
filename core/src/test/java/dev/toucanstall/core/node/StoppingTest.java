package dev.toucanstall.core.node;

import static com.google.common.truth.Truth.assertThat;

import dev.toucanstall.core.job.Account;
import dev.toucanstall.core.job.Catalog;
import dev.toucanstall.core.job.JobAnswer;
import dev.toucanstall.core.job.JobAnswer.Reason;
import dev.toucanstall.core.job.JobSpec;
import dev.toucanstall.core.job.Queue;
import dev.toucanstall.core.job.Resources;
import dev.toucanstall.core.model.Address;
import dev.toucanstall.core.plan.Now;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the handling of calls while an entry instance stops, before the end of its grace time. */
final class StoppingTest {

  private static final long GRACE_MS = 6_000;
  private static final Address PLANNER = new Address("10.0.0.2", 7000);
  private static final Address NEXT_PLANNER = new Address("10.0.0.3", 7000);
  private static final String JOB = "0123456789abcdef";

  private final Node node = new Node("n1");
  private final List<NodeEffect> effects = new ArrayList<>();
  private long nowMs = 1_000_000;

  @BeforeEach
  void setUp() {
    readCatalog();
  }

  private void handle(NodeEvent event) {
    effects.addAll(NodeReducer.reduce(node, event, new Now(nowMs, nowMs)));
  }

  private void advance(long millis) {
    nowMs += millis;
    handle(new NodeEvent.Tick());
  }

  private void readCatalog() {
    Queue queue = new Queue("q", "h", "/q/", "s", 0, 3, 2, 600, false, false);
    Account account = new Account("a", Set.of("key"), 1, Resources.NONE);
    Catalog catalog = Catalog.of(1, List.of(queue), List.of(account), Set.of());
    handle(new NodeEvent.CatalogRead(nowMs, catalog));
  }

  private void follow(long epoch, Address planner) {
    handle(new NodeEvent.LeaderRead(new Leader(epoch, "n2", planner)));
    handle(new NodeEvent.LinkUp(planner));
  }

  private void becomePlanner() {
    handle(new NodeEvent.Joined(true));
    handle(new NodeEvent.Elected(1, 7, List.of()));
  }

  private void call(long ticket, ClientCall.Kind kind, long waitMs) {
    JobSpec spec = new JobSpec("", List.of(), 1, 0, 0);
    ClientCall call = new ClientCall(kind, "h", "/q/" + JOB, "key", waitMs, spec, "");
    handle(new NodeEvent.Called(ticket, call));
  }

  private Optional<JobAnswer> answer(long ticket) {
    return effects.stream()
        .filter(e -> e instanceof NodeEffect.Answer a && a.ticket() == ticket)
        .map(e -> ((NodeEffect.Answer) e).answer())
        .findFirst();
  }

  private boolean sentTo(long ticket, Address planner) {
    return effects.stream()
        .anyMatch(
            e ->
                e instanceof NodeEffect.AskPeer a
                    && a.ticket() == ticket
                    && a.planner().equals(planner));
  }

  private boolean exitRequested() {
    return effects.contains(new NodeEffect.Exit());
  }

  /** Guards against unanswered calls of clients that keep their connections open until the exit. */
  @Test
  void stoppingInstanceClosesConnectionsAndStillAnswersCalls() {
    follow(1, PLANNER);
    handle(new NodeEvent.StopAsked(GRACE_MS));
    assertThat(effects).contains(new NodeEffect.EndConnections());
    advance(1_000);
    call(1, ClientCall.Kind.SUBMIT, 3_000);
    assertThat(sentTo(1, PLANNER)).isTrue();
    handle(new NodeEvent.PeerAnswered(PLANNER, 1, new JobAnswer.Accepted()));
    assertThat(answer(1)).hasValue(new JobAnswer.Accepted());
  }

  /**
   * Guards against calls that get no answer because they are pending when the process is killed.
   */
  @Test
  void pendingCallIsAnsweredBeforeProcessIsKilled() {
    follow(1, PLANNER);
    call(1, ClientCall.Kind.SUBMIT, 20_000);
    call(2, ClientCall.Kind.SHOW, 20_000);
    handle(new NodeEvent.StopAsked(GRACE_MS));
    advance(GRACE_MS * 2 / 3);
    assertThat(answer(1)).isEmpty();
    advance(GRACE_MS / 6);
    assertThat(answer(1)).hasValue(new JobAnswer.Uncertain());
    assertThat(answer(2)).hasValue(new JobAnswer.Refused(Reason.STOPPING, 0));
    assertThat(exitRequested()).isTrue();
  }

  /**
   * Guards against sending a call so late that the planner cannot answer it within the grace time.
   */
  @Test
  void lateCallIsRefusedWithoutSendingIt() {
    follow(1, PLANNER);
    call(1, ClientCall.Kind.SUBMIT, 20_000);
    handle(new NodeEvent.StopAsked(GRACE_MS));
    advance(GRACE_MS / 2);
    call(2, ClientCall.Kind.SUBMIT, 3_000);
    assertThat(answer(2)).hasValue(new JobAnswer.Refused(Reason.STOPPING, 0));
    assertThat(sentTo(2, PLANNER)).isFalse();
  }

  /**
   * Guards against a process that never exits by itself because some call is always in progress.
   */
  @Test
  void instanceExitsInTimeUnderContinuousCalls() {
    follow(1, PLANNER);
    handle(new NodeEvent.StopAsked(GRACE_MS));
    long stopRequestedMs = nowMs;
    for (long ticket = 1; !exitRequested() && nowMs - stopRequestedMs < GRACE_MS; ticket++) {
      call(ticket, ClientCall.Kind.SUBMIT, 3_000);
      handle(new NodeEvent.PeerAnswered(PLANNER, ticket - 5, new JobAnswer.Accepted()));
      handle(new NodeEvent.CatalogRead(nowMs, null));
      advance(50);
    }
    assertThat(exitRequested()).isTrue();
    assertThat(nowMs - stopRequestedMs).isAtMost(GRACE_MS * 2 / 3);
  }

  /** Guards against deadlines that exceed a short grace time; each must be a share of it. */
  @Test
  void shortGraceTimeIsRespected() {
    follow(1, PLANNER);
    call(1, ClientCall.Kind.SUBMIT, 3_000);
    handle(new NodeEvent.StopAsked(1_200));
    advance(1_000);
    assertThat(answer(1)).hasValue(new JobAnswer.Uncertain());
    assertThat(exitRequested()).isTrue();
  }

  /**
   * Guards against a planner that exits before its successor is named and leaves none to clients.
   */
  @Test
  void stoppingPlannerWaitsForSuccessor() {
    becomePlanner();
    handle(new NodeEvent.StopAsked(GRACE_MS));
    assertThat(effects).contains(new NodeEffect.LeaveGroup());
    advance(GRACE_MS * 2 / 3);
    assertThat(exitRequested()).isFalse();
    handle(new NodeEvent.LeaderRead(new Leader(2, "n3", NEXT_PLANNER)));
    advance(20);
    assertThat(exitRequested()).isTrue();
  }

  /** Guards against a planner that waits for a successor until it is killed. */
  @Test
  void stoppingPlannerWithoutSuccessorExitsInTime() {
    becomePlanner();
    handle(new NodeEvent.StopAsked(GRACE_MS));
    advance(GRACE_MS * 5 / 6);
    assertThat(exitRequested()).isTrue();
  }

  /** Guards against a second signal that restarts the grace time. */
  @Test
  void secondStopRequestHasNoEffect() {
    follow(1, PLANNER);
    call(1, ClientCall.Kind.SUBMIT, 20_000);
    handle(new NodeEvent.StopAsked(GRACE_MS));
    advance(GRACE_MS * 2 / 3);
    handle(new NodeEvent.StopAsked(GRACE_MS));
    advance(GRACE_MS / 6);
    assertThat(exitRequested()).isTrue();
  }
}
