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
 * Claims request ids before non-idempotent requests run, and keeps claims for peers. Pure.
 *
 * <p>A claim that cannot be decided refuses the request with the verdict that it may have run,
 * since an earlier submission may have.
 */
final class ClaimReducer {

  private static final long PATIENCE_NANOS = Duration.ofMillis(600).toNanos();

  private ClaimReducer() {}

  /** Begins to claim a request's id. */
  static Transition begin(State state, Request request, long now) {
    RequestKey key = Objects.requireNonNull(request.requestKey());
    Set<MemberId> keepers = keepers(state, key);
    Request claiming = request.withStage(new RequestStage.Claiming(HashTreePSet.empty(), now));
    Transition step = Transition.of(state.withTraffic(state.traffic().with(claiming)));
    for (MemberId keeper : keepers) {
      if (!keeper.equals(state.localId())) {
        step =
            step.plus(new Effect.Send(keeper, new PeerMessage.ClaimAsked(request.number(), key)));
      }
    }
    return keepers.contains(state.localId())
        ? step.then(s -> voteForMyself(s, request.number(), key, now))
        : step;
  }

  private static Set<MemberId> keepers(State state, RequestKey key) {
    Set<MemberId> all = new TreeSet<>();
    ClaimKeepers.groups(state, key).forEach(all::addAll);
    return all;
  }

  private static Transition voteForMyself(State state, long number, RequestKey key, long now) {
    long incarnation = state.localMember().identity().incarnation();
    Vote vote = vote(state, key, state.localId(), incarnation, number, now);
    return count(vote.state, state.localId(), number, vote.vote, now);
  }

  /** Answers a peer that claims a request id. */
  static Transition asked(
      State state, MemberId peer, long incarnation, PeerMessage.ClaimAsked asked, long now) {
    Vote vote = vote(state, asked.key(), peer, incarnation, asked.claim(), now);
    return Transition.of(
        vote.state,
        new Effect.Send(
            peer, new PeerMessage.ClaimAnswered(asked.claim(), asked.key(), vote.vote)));
  }

  private record Vote(State state, ClaimVote vote) {}

  private static Vote vote(
      State state, RequestKey key, MemberId holder, long incarnation, long claim, long now) {
    Claims.Claim known = state.claims().get(key);
    long window = state.localMember().timing().claimWindow();
    if (known != null && now - known.grantedAt() <= window) {
      boolean same = known.matches(holder, incarnation, claim);
      return new Vote(state, same ? ClaimVote.GRANTED : ClaimVote.TAKEN);
    }
    if (now < state.claims().incompleteUntil() || !state.isMember()) {
      return new Vote(state, ClaimVote.UNSURE);
    }
    Claims next = state.claims().release(key).grant(key, holder, incarnation, claim, now);
    return new Vote(state.withClaims(next), ClaimVote.GRANTED);
  }

  /** Takes a keeper's answer. */
  static Transition answered(
      State state, MemberId keeper, PeerMessage.ClaimAnswered answered, long now) {
    return count(state, keeper, answered.claim(), answered.vote(), now);
  }

  private static Transition count(
      State state, MemberId keeper, long number, ClaimVote vote, long now) {
    Request request = state.traffic().get(number);
    if (request == null || !(request.stage() instanceof RequestStage.Claiming claiming)) {
      return Transition.of(state);
    }
    return switch (vote) {
      case GRANTED -> granted(state, request, claiming.grantedBy().plus(keeper), claiming, now);
      case TAKEN -> duplicate(state, request, now);
      case UNSURE -> Transition.of(state);
    };
  }

  private static Transition granted(
      State state,
      Request request,
      PSet<MemberId> granted,
      RequestStage.Claiming claiming,
      long now) {
    Request next = request.withStage(new RequestStage.Claiming(granted, claiming.requestedAt()));
    State counted = state.withTraffic(state.traffic().with(next));
    return isClaimed(state, request, granted)
        ? RequestRules.enqueue(counted, next, now)
        : Transition.of(counted);
  }

  private static boolean isClaimed(State state, Request request, PSet<MemberId> granted) {
    RequestKey key = Objects.requireNonNull(request.requestKey());
    List<Set<MemberId>> groups = ClaimKeepers.groups(state, key);
    return !groups.isEmpty()
        && groups.stream().allMatch(group -> Membership.isMajority(granted, group));
  }

  private static Transition duplicate(State state, Request request, long now) {
    return RequestRules.refuse(
        state,
        request,
        Refusal.mayHaveRun(
            RefusalCode.DUPLICATE,
            "Request id \"%s\" was submitted before and may have run."
                .formatted(request.arrival().requestId())),
        now);
  }

  /** Forgets a claim whose request was not run and will not be. */
  static Transition released(
      State state, MemberId peer, long incarnation, PeerMessage.ClaimReleased released) {
    Claims.Claim known = state.claims().get(released.key());
    return known != null && known.matches(peer, incarnation, released.claim())
        ? Transition.of(state.withClaims(state.claims().release(released.key())))
        : Transition.of(state);
  }

  /** Gives up the claim of a request that was not run and will not be. */
  static Transition release(State state, Request request, long now) {
    RequestKey key = Objects.requireNonNull(request.requestKey());
    PeerMessage.ClaimReleased message = new PeerMessage.ClaimReleased(request.number(), key);
    Transition step =
        released(state, state.localId(), state.localMember().identity().incarnation(), message);
    for (MemberId keeper : keepers(state, key)) {
      if (!keeper.equals(state.localId())) {
        step = step.plus(new Effect.Send(keeper, message));
      }
    }
    return step;
  }

  /** Refuses requests whose keepers do not answer, and forgets claims past their window. */
  static Transition expire(State state, long now) {
    Transition step =
        Transition.of(
            state.withClaims(
                state.claims().expire(now - state.localMember().timing().claimWindow())));
    for (Map.Entry<Long, Long> entry : state.traffic().claimRequestedAt().entrySet()) {
      if (now - entry.getValue() < PATIENCE_NANOS) {
        return step;
      }
      step = step.then(s -> unavailable(s, entry.getKey(), now));
    }
    return step;
  }

  private static Transition unavailable(State state, long number, long now) {
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
