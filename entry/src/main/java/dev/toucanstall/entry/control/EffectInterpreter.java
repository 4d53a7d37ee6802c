package dev.toucanstall.entry.control;

import dev.toucanstall.core.effect.Effect;
import dev.toucanstall.entry.link.PeerLinks;
import dev.toucanstall.entry.metrics.BurnStore;
import dev.toucanstall.entry.metrics.EntryMetrics;
import dev.toucanstall.entry.operator.OperatorGateway;
import dev.toucanstall.entry.traffic.DecisionQueues;
import dev.toucanstall.runtime.log.LogLine;
import dev.toucanstall.wire.json.RecordCodec;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Executes the effects of decisions on the control thread; slow work goes to other threads. */
final class EffectInterpreter implements Consumer<Effect> {

  private static final Logger LOG = LogManager.getLogger(EffectInterpreter.class);

  private final DecisionQueues decisionQueues;
  private final PeerLinks peerLinks;
  private final LogReader logReader;
  private final LogAppender logAppender;
  private final FleetPoller fleetPoller;
  private final OperatorGateway gateway;
  private final EntryMetrics metrics;
  private final BurnStore burnStore;
  private final BiConsumer<Integer, String> exitHandler;

  EffectInterpreter(
      DecisionQueues decisionQueues,
      PeerLinks peerLinks,
      LogReader logReader,
      LogAppender logAppender,
      FleetPoller fleetPoller,
      OperatorGateway gateway,
      EntryMetrics metrics,
      BurnStore burnStore,
      BiConsumer<Integer, String> exitHandler) {
    this.decisionQueues = decisionQueues;
    this.peerLinks = peerLinks;
    this.logReader = logReader;
    this.logAppender = logAppender;
    this.fleetPoller = fleetPoller;
    this.gateway = gateway;
    this.metrics = metrics;
    this.burnStore = burnStore;
    this.exitHandler = exitHandler;
  }

  @Override
  public void accept(Effect effect) {
    switch (effect) {
      case Effect.StartAttempt start -> decisionQueues.put(start.number(), start);
      case Effect.Refuse refuse -> decisionQueues.put(refuse.number(), refuse);
      case Effect.PassErrorAnswer pass -> decisionQueues.put(pass.number(), pass);
      case Effect.EndRequest end -> decisionQueues.put(end.number(), end);
      case Effect.Append append ->
          logAppender.append(
              new RecordCodec.Line(append.producer(), append.sequence(), append.body()));
      case Effect.WriteSnapshot write -> logAppender.appendSnapshot(write.appliedState());
      case Effect.ReloadLog reload -> logReader.requestReload();
      case Effect.ReadLogFrom read -> logReader.readFrom(read.fromOffset());
      case Effect.Send send -> peerLinks.send(send.to(), send.message());
      case Effect.LinkTo link -> peerLinks.setPeers(link.peers());
      case Effect.AnswerOperator answer -> gateway.answer(answer.handle(), answer.answer());
      case Effect.RestartInstance restart ->
          fleetPoller.restart(restart.instance(), restart.incarnation());
      case Effect.SetReady ready -> setReady(ready);
      case Effect.CountRequest count -> countRequest(count);
      case Effect.LogDecision decision ->
          LogLine.of("decision")
              .with("subject", decision.subject())
              .with("rule", decision.rule())
              .with("text", decision.text())
              .info(LOG);
      case Effect.Alarm alarm -> raiseAlarm(alarm);
      case Effect.Exit exit -> exitHandler.accept(exit.status(), exit.reason());
    }
  }

  private void setReady(Effect.SetReady ready) {
    gateway.setReady(ready.ready());
    LogLine.of("ready").with("ready", ready.ready()).with("why", ready.reason()).info(LOG);
  }

  private void countRequest(Effect.CountRequest count) {
    metrics.countRequest(count);
    burnStore.countRequest(count, System.nanoTime());
  }

  private void raiseAlarm(Effect.Alarm alarm) {
    metrics.countAlarm(alarm.name());
    LogLine.of("alarm").with("name", alarm.name()).with("text", alarm.text()).warn(LOG);
  }
}
