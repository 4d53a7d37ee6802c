package dev.toucanstall.core.reduce;

import dev.toucanstall.core.effect.Effect;
import dev.toucanstall.core.fold.Membership;
import dev.toucanstall.core.model.MemberId;
import dev.toucanstall.core.model.Refusal;
import dev.toucanstall.core.model.RefusalCode;
import dev.toucanstall.core.model.RequestKey;
import dev.toucanstall.core.peer.ClaimVote;
import dev.toucanstall.core.peer.PeerMessage;
import dev.toucanstall.core.state.Claims;
import dev.toucanstall.core.state.Request;
import dev.toucanstall.core.state.RequestStage;
import dev.toucanstall.core.state.State;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import org.pcollections.HashTreePSet;
import org.pcollections.PSet;

/**
 * Reducer of claims: claims the ids of non-idempotent requests before they run, and stores the
 * claims of peers. Pure.
 *
 * <p>If a claim cannot be decided, the request is refused with the verdict that it may have run,
 * since an earlier submission may have run.
 */
final class ClaimReducer {

  /** Time for the claim replicas to answer before the request is refused. */
  private static final long ANSWER_TIMEOUT_NANOS = Duration.ofMillis(600).toNanos();

  private ClaimReducer() {}

  /** Begins to claim the id of a request, by asking all replicas of the claim for their votes. */
  static Transition begin(State state, Request request, long now) {
    RequestKey key = Objects.requireNonNull(request.requestKey());
    Set<MemberId> replicas = replicas(state, key);
    Request claiming = request.withStage(new RequestStage.Claiming(HashTreePSet.empty(), now));
    Transition transition = Transition.of(state.withTraffic(state.traffic().with(claiming)));
    for (MemberId replica : replicas) {
      if (!replica.equals(state.localId())) {
        transition =
            transition.plus(
                new Effect.Send(replica, new PeerMessage.ClaimAsked(request.number(), key)));
      }
    }
    return replicas.contains(state.localId())
        ? transition.then(s -> castLocalVote(s, request.number(), key, now))
        : transition;
  }

  /** Returns the claim replicas of all relevant epochs. */
  private static Set<MemberId> replicas(State state, RequestKey key) {
    Set<MemberId> replicas = new TreeSet<>();
    ClaimReplicas.quorumGroups(state, key).forEach(replicas::addAll);
    return replicas;
  }

  /** Counts the vote of this entry instance, which is itself a replica of the claim. */
  private static Transition castLocalVote(State state, long number, RequestKey key, long now) {
    long incarnation = state.localMember().identity().incarnation();
    VoteResult vote = vote(state, key, state.localId(), incarnation, number, now);
    return countVote(vote.state, state.localId(), number, vote.vote, now);
  }

  static Transition handleRequest(
      State state, MemberId peer, long incarnation, PeerMessage.ClaimAsked request, long now) {
    VoteResult vote = vote(state, request.key(), peer, incarnation, request.claim(), now);
    return Transition.of(
        vote.state,
        new Effect.Send(
            peer, new PeerMessage.ClaimAnswered(request.claim(), request.key(), vote.vote)));
  }

  private record VoteResult(State state, ClaimVote vote) {}

  /**
   * Votes on a claim.
   *
   * <p>An id that was granted within the claim window is granted again to the same claim only. Any
   * other vote is unsure if this entry instance is not an active member, or may lack claims that an
   * earlier incarnation granted.
   *
   * @param holder member that is to run the request, which also numbers the claim
   */
  private static VoteResult vote(
      State state, RequestKey key, MemberId holder, long incarnation, long claim, long now) {
    Claims.Claim existing = state.claims().get(key);
    long window = state.localMember().timing().claimWindow();
    if (existing != null && now - existing.grantedAt() <= window) {
      boolean sameClaim = existing.matches(holder, incarnation, claim);
      return new VoteResult(state, sameClaim ? ClaimVote.GRANTED : ClaimVote.TAKEN);
    }
    if (now < state.claims().incompleteUntil() || !state.isMember()) {
      return new VoteResult(state, ClaimVote.UNSURE);
    }
    Claims next = state.claims().release(key).grant(key, holder, incarnation, claim, now);
    return new VoteResult(state.withClaims(next), ClaimVote.GRANTED);
  }

  static Transition handleAnswer(
      State state, MemberId replica, PeerMessage.ClaimAnswered answer, long now) {
    return countVote(state, replica, answer.claim(), answer.vote(), now);
  }

  /**
   * Counts a vote on the claim of a request: one replica that has granted the id to another claim
   * is enough to refuse the request. Votes for a request that is not being claimed are ignored.
   */
  private static Transition countVote(
      State state, MemberId replica, long number, ClaimVote vote, long now) {
    Request request = state.traffic().get(number);
    if (request == null || !(request.stage() instanceof RequestStage.Claiming claiming)) {
      return Transition.of(state);
    }
    return switch (vote) {
      case GRANTED ->
          recordGrant(state, request, claiming.grantedBy().plus(replica), claiming, now);
      case TAKEN -> refuseDuplicate(state, request, now);
      case UNSURE -> Transition.of(state);
    };
  }

  private static Transition recordGrant(
      State state,
      Request request,
      PSet<MemberId> grantedBy,
      RequestStage.Claiming claiming,
      long now) {
    Request next = request.withStage(new RequestStage.Claiming(grantedBy, claiming.requestedAt()));
    State recorded = state.withTraffic(state.traffic().with(next));
    return hasQuorum(state, request, grantedBy)
        ? RequestRules.enqueue(recorded, next, now)
        : Transition.of(recorded);
  }

  /** Tells whether a majority of the replicas of every relevant epoch has granted the claim. */
  private static boolean hasQuorum(State state, Request request, PSet<MemberId> grantedBy) {
    RequestKey key = Objects.requireNonNull(request.requestKey());
    List<Set<MemberId>> groups = ClaimReplicas.quorumGroups(state, key);
    return !groups.isEmpty()
        && groups.stream().allMatch(group -> Membership.isMajority(grantedBy, group));
  }

  private static Transition refuseDuplicate(State state, Request request, long now) {
    return RequestRules.refuse(
        state,
        request,
        Refusal.mayHaveRun(
            RefusalCode.DUPLICATE,
            "Request id \"%s\" was submitted before and may have run."
                .formatted(request.arrival().requestId())),
        now);
  }

  /** Deletes the stored claim of a request that was not run and will not be. */
  static Transition handleRelease(
      State state, MemberId peer, long incarnation, PeerMessage.ClaimReleased release) {
    Claims.Claim existing = state.claims().get(release.key());
    return existing != null && existing.matches(peer, incarnation, release.claim())
        ? Transition.of(state.withClaims(state.claims().release(release.key())))
        : Transition.of(state);
  }

  /**
   * Releases the claim of a request that was not run and will not be, so that its id can be
   * submitted again.
   */
  static Transition release(State state, Request request, long now) {
    RequestKey key = Objects.requireNonNull(request.requestKey());
    PeerMessage.ClaimReleased message = new PeerMessage.ClaimReleased(request.number(), key);
    Transition transition =
        handleRelease(
            state, state.localId(), state.localMember().identity().incarnation(), message);
    for (MemberId replica : replicas(state, key)) {
      if (!replica.equals(state.localId())) {
        transition = transition.plus(new Effect.Send(replica, message));
      }
    }
    return transition;
  }

  /**
   * Refuses requests whose claim replicas do not answer in time, and deletes claims older than the
   * claim window.
   */
  static Transition expireClaims(State state, long now) {
    Transition transition =
        Transition.of(
            state.withClaims(
                state.claims().expire(now - state.localMember().timing().claimWindow())));
    for (Map.Entry<Long, Long> entry : state.traffic().claimRequestedAt().entrySet()) {
      if (now - entry.getValue() < ANSWER_TIMEOUT_NANOS) {
        return transition;
      }
      transition = transition.then(s -> refuseUnavailable(s, entry.getKey(), now));
    }
    return transition;
  }

  private static Transition refuseUnavailable(State state, long number, long now) {
    Request request = state.traffic().get(number);
    return request == null
        ? Transition.of(state)
        : RequestRules.refuse(
            state,
            request,
            Refusal.mayHaveRun(
                RefusalCode.CLAIM_UNAVAILABLE,
                "The keepers of the request id do not answer; an earlier submission may have run."),
            now);
  }
}
