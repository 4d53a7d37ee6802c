package dev.toucanstall.entry.control;

import dev.toucanstall.core.effect.Effect;
import dev.toucanstall.entry.link.PeerLinks;
import dev.toucanstall.entry.metrics.BurnStore;
import dev.toucanstall.entry.metrics.EntryMetrics;
import dev.toucanstall.entry.operator.OperatorDesk;
import dev.toucanstall.entry.traffic.Exchanges;
import dev.toucanstall.runtime.log.LogLine;
import dev.toucanstall.wire.json.RecordCodec;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Carries out the effects of decisions, on the control thread; hands slow work to others. */
final class EffectRunner implements Consumer<Effect> {

  private static final Logger LOG = LogManager.getLogger(EffectRunner.class);

  private final Exchanges exchanges;
  private final PeerLinks links;
  private final LogReader reader;
  private final LogAppender appender;
  private final FleetPoller fleet;
  private final OperatorDesk desk;
  private final EntryMetrics metrics;
  private final BurnStore burn;
  private final BiConsumer<Integer, String> exit;

  EffectRunner(
      Exchanges exchanges,
      PeerLinks links,
      LogReader reader,
      LogAppender appender,
      FleetPoller fleet,
      OperatorDesk desk,
      EntryMetrics metrics,
      BurnStore burn,
      BiConsumer<Integer, String> exit) {
    this.exchanges = exchanges;
    this.links = links;
    this.reader = reader;
    this.appender = appender;
    this.fleet = fleet;
    this.desk = desk;
    this.metrics = metrics;
    this.burn = burn;
    this.exit = exit;
  }

  @Override
  public void accept(Effect effect) {
    switch (effect) {
      case Effect.StartAttempt start -> exchanges.put(start.number(), start);
      case Effect.Refuse refuse -> exchanges.put(refuse.number(), refuse);
      case Effect.PassErrorAnswer pass -> exchanges.put(pass.number(), pass);
      case Effect.EndRequest end -> exchanges.put(end.number(), end);
      case Effect.Append append ->
          appender.append(
              new RecordCodec.Line(append.producer(), append.sequence(), append.body()));
      case Effect.WriteSnapshot write -> appender.appendSnapshot(write.appliedState());
      case Effect.ReloadLog reload -> reader.reload();
      case Effect.ReadLogFrom read -> reader.readFrom(read.fromOffset());
      case Effect.Send send -> links.send(send.to(), send.message());
      case Effect.LinkTo link -> links.setPeers(link.peers());
      case Effect.AnswerOperator answer -> desk.put(answer.handle(), answer.answer());
      case Effect.RestartInstance restart ->
          fleet.restart(restart.instance(), restart.incarnation());
      case Effect.SetReady ready -> setReady(ready);
      case Effect.CountRequest count -> count(count);
      case Effect.LogDecision decision ->
          LogLine.of("decision")
              .with("subject", decision.subject())
              .with("rule", decision.rule())
              .with("text", decision.text())
              .info(LOG);
      case Effect.Alarm alarm -> alarm(alarm);
      case Effect.Exit leave -> exit.accept(leave.status(), leave.reason());
    }
  }

  private void setReady(Effect.SetReady ready) {
    desk.setReady(ready.ready());
    LogLine.of("ready").with("ready", ready.ready()).with("why", ready.reason()).info(LOG);
  }

  private void count(Effect.CountRequest count) {
    metrics.countRequest(count);
    burn.countRequest(count, System.nanoTime());
  }

  private void alarm(Effect.Alarm alarm) {
    metrics.countAlarm(alarm.name());
    LogLine.of("alarm").with("name", alarm.name()).with("text", alarm.text()).warn(LOG);
  }
}
