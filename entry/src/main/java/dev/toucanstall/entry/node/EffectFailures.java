package dev.toucanstall.entry.node;

import dev.toucanstall.core.job.ServerEntry;
import dev.toucanstall.core.node.NodeEffect;
import dev.toucanstall.core.node.NodeEvent;
import dev.toucanstall.core.plan.LeaseRenewalResult;
import dev.toucanstall.core.plan.MachineResult;
import dev.toucanstall.core.plan.OrderResult;
import dev.toucanstall.core.plan.PlanEffect;
import dev.toucanstall.core.plan.PlanEvent;
import dev.toucanstall.core.plan.StoreResult;
import java.util.Optional;

/** The events that report effects which could not be carried out. Stateless. */
final class EffectFailures {

  private EffectFailures() {}

  /**
   * Returns the event that reports the failure of an effect. The effect may have been carried out
   * in part.
   *
   * @param effect the effect
   * @param nowMs time of the failure, in milliseconds of the monotonic clock
   * @param reason description of the failure
   * @return the event, empty if the reducer waits for no result
   */
  static Optional<NodeEvent> resultOf(NodeEffect effect, long nowMs, String reason) {
    return switch (effect) {
      case NodeEffect.OfPlan ofPlan ->
          resultOf(ofPlan.effect(), nowMs, reason)
              .map(event -> new NodeEvent.ForPlan(ofPlan.epoch(), event));
      case NodeEffect.Elect elect -> Optional.of(new NodeEvent.NotElected(reason, null));
      case NodeEffect.AskPeer ask ->
          Optional.of(new NodeEvent.AskUnsent(ask.planner(), ask.ticket()));
      default -> Optional.empty();
    };
  }

  private static Optional<PlanEvent> resultOf(PlanEffect effect, long nowMs, String reason) {
    return switch (effect) {
      case PlanEffect.Append append ->
          Optional.of(new PlanEvent.Appended(append.sequence(), nowMs, StoreResult.MAYBE));
      case PlanEffect.Hold hold -> {
        ServerEntry server = hold.server();
        yield Optional.of(
            new PlanEvent.Held(
                server.id(),
                server.startTimeMs(),
                hold.acknowledgedCompletion(),
                nowMs,
                new LeaseRenewalResult.Failed(new OrderResult.Unanswered())));
      }
      case PlanEffect.Start start -> {
        ServerEntry server = start.server();
        yield Optional.of(
            new PlanEvent.Started(
                server.id(),
                server.startTimeMs(),
                start.task(),
                start.run(),
                new OrderResult.Unanswered()));
      }
      case PlanEffect.Stop stop -> {
        ServerEntry server = stop.server();
        // A stop without an answer would be repeated at once.
        yield Optional.of(
            new PlanEvent.Stopped(
                server.id(),
                server.startTimeMs(),
                stop.task(),
                stop.run(),
                new OrderResult.ConnectionRefused()));
      }
      case PlanEffect.ListMachines list -> Optional.of(new PlanEvent.MachinesUnknown(reason));
      case PlanEffect.Maintain maintain ->
          Optional.of(
              new PlanEvent.Maintained(maintain.wave(), maintain.machine(), MachineResult.MAYBE));
      case PlanEffect.Move move ->
          Optional.of(new PlanEvent.Moved(move.machine(), move.service(), MachineResult.MAYBE));
      case PlanEffect.Pace pace -> Optional.empty();
      case PlanEffect.TellWave report -> Optional.empty();
      case PlanEffect.Answer answer -> Optional.empty();
      case PlanEffect.Resign resign -> Optional.empty();
      case PlanEffect.Note note -> Optional.empty();
    };
  }
}
