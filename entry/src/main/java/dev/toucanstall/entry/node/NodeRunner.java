package dev.toucanstall.entry.node;

import dev.toucanstall.core.job.MachineEntry;
import dev.toucanstall.core.node.Leader;
import dev.toucanstall.core.node.NodeEffect;
import dev.toucanstall.core.node.NodeEvent;
import dev.toucanstall.core.node.NodeMessage;
import dev.toucanstall.core.plan.LeaseRenewalResult;
import dev.toucanstall.core.plan.OrderResult;
import dev.toucanstall.core.plan.PlanEffect;
import dev.toucanstall.core.plan.PlanEvent;
import dev.toucanstall.core.plan.StoreResult;
import dev.toucanstall.platform.jobs.JobHandler;
import dev.toucanstall.platform.machines.MachineClient;
import dev.toucanstall.platform.orders.OrderClient;
import dev.toucanstall.platform.settings.PlatformSettings;
import dev.toucanstall.platform.store.JobLog;
import dev.toucanstall.platform.store.PlannerGroup;
import dev.toucanstall.platform.store.WaveStatusWriter;
import dev.toucanstall.runtime.log.LogLine;
import dev.toucanstall.runtime.meter.SynchronizedHistogramsByKind;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Carries out the effects of an entry instance, on the control thread; never blocks. */
final class NodeRunner implements Consumer<NodeEffect> {

  private static final Logger LOG = LogManager.getLogger(NodeRunner.class);

  private final PlatformSettings settings;
  private final SteadyClock clock;
  private final Consumer<NodeEvent> events;
  private final JobHandler clients;
  private final PlannerServer peers;
  private final PlannerLink planner;
  private final JobLog jobs;
  private final OrderClient orders;
  private final MachineClient machines;
  private final WaveStatusWriter status;
  private final SynchronizedHistogramsByKind times;
  private final Parts parts;

  /** Parts that come and go. */
  interface Parts {

    /** Returns the membership in the group of planners. */
    PlannerGroup group();

    /** Starts to read the list of backend servers for a term. */
    void watchServers(long epoch);

    /** Stops to read the list of backend servers. */
    void ignoreServers();

    /** Answers readiness probes so from now on. */
    void ready(boolean ready);

    /** Ends the process. */
    void exit();
  }

  NodeRunner(
      PlatformSettings settings,
      SteadyClock clock,
      Consumer<NodeEvent> events,
      JobHandler clients,
      PlannerServer peers,
      PlannerLink planner,
      JobLog jobs,
      OrderClient orders,
      MachineClient machines,
      WaveStatusWriter status,
      SynchronizedHistogramsByKind times,
      Parts parts) {
    this.settings = settings;
    this.clock = clock;
    this.events = events;
    this.clients = clients;
    this.peers = peers;
    this.planner = planner;
    this.jobs = jobs;
    this.orders = orders;
    this.machines = machines;
    this.status = status;
    this.times = times;
    this.parts = parts;
  }

  @Override
  public void accept(NodeEffect effect) {
    switch (effect) {
      case NodeEffect.Answer answer -> clients.answer(answer.ticket(), answer.answer());
      case NodeEffect.AskPeer ask -> planner.ask(ask.planner(), ask.ticket(), ask.call());
      case NodeEffect.AnswerPeer answer ->
          peers.send(answer.link(), new NodeMessage.Reply(answer.number(), answer.answer()));
      case NodeEffect.AnswerPing answer ->
          peers.send(answer.link(), new NodeMessage.Pong(answer.plans(), answer.yields()));
      case NodeEffect.DeclinePeer decline ->
          peers.send(
              decline.link(), new NodeMessage.NotPlanner(decline.number(), decline.maybeStored()));
      case NodeEffect.Follow follow -> planner.follow(follow.planner());
      case NodeEffect.Elect elect ->
          Thread.ofPlatform().name("election").daemon().start(() -> elect(elect.lastEpoch()));
      case NodeEffect.Announce announce -> {
        parts.watchServers(announce.epoch());
        announce(announce.epoch());
      }
      case NodeEffect.EndTerm endTerm -> parts.ignoreServers();
      case NodeEffect.OfPlan ofPlan -> carryOut(ofPlan.epoch(), ofPlan.effect());
      case NodeEffect.HurryGroup hurry -> parts.group().setPlannerMissing(hurry.plannerMissing());
      case NodeEffect.LeaveGroup leave -> parts.group().leave();
      case NodeEffect.SetReady ready -> parts.ready(ready.ready());
      case NodeEffect.EndConnections end -> clients.endConnections();
      case NodeEffect.Exit exit -> parts.exit();
      case NodeEffect.Note note -> log(note.event(), note.fields());
    }
  }

  private static void log(String event, Map<String, String> fields) {
    LogLine line = LogLine.of(event);
    fields.forEach(line::with);
    line.info(LOG);
  }

  private Leader self(long epoch) {
    return new Leader(epoch, settings.instanceName(), settings.peerAddress());
  }

  private void elect(long lastEpoch) {
    try {
      events.accept(
          switch (jobs.elect(self(lastEpoch))) {
            case JobLog.ElectionResult.Won won ->
                new NodeEvent.Elected(won.epoch(), won.nextSequence(), won.records());
            case JobLog.ElectionResult.Lost lost ->
                new NodeEvent.NotElected(lost.reason(), lost.latestLeader());
          });
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (RuntimeException e) {
      LogLine.of("election-error").error(LOG, e);
      events.accept(new NodeEvent.NotElected(e.toString(), null));
    }
  }

  private void announce(long epoch) {
    jobs.announce(
        self(epoch),
        verdict -> {
          if (verdict != StoreResult.DONE && verdict != StoreResult.FENCED) {
            announce(epoch);
          }
        });
  }

  private void carryOut(long epoch, PlanEffect effect) {
    switch (effect) {
      case PlanEffect.Append append -> append(append);
      case PlanEffect.Hold hold -> {
        long sent = clock.steadyMs();
        orders.renewLease(
            hold,
            timed(
                "renew",
                result ->
                    tell(
                        epoch,
                        new PlanEvent.Held(
                            hold.server().id(),
                            hold.server().startTimeMs(),
                            hold.acknowledgedCompletion(),
                            sent,
                            result))));
      }
      case PlanEffect.Start start ->
          orders.start(
              start,
              timed(
                  "start",
                  result ->
                      tell(
                          epoch,
                          new PlanEvent.Started(
                              start.server().id(),
                              start.server().startTimeMs(),
                              start.task(),
                              start.run(),
                              result))));
      case PlanEffect.Stop stop ->
          orders.stop(
              stop,
              timed(
                  "stop",
                  result ->
                      tell(
                          epoch,
                          new PlanEvent.Stopped(
                              stop.server().id(),
                              stop.server().startTimeMs(),
                              stop.task(),
                              stop.run(),
                              result))));
      case PlanEffect.Pace pace -> orders.setRate(pace, result -> {});
      case PlanEffect.ListMachines list -> machines.list(reader(epoch));
      case PlanEffect.Maintain maintain ->
          machines.maintain(
              maintain,
              result ->
                  tell(
                      epoch,
                      new PlanEvent.Maintained(maintain.wave(), maintain.machine(), result)));
      case PlanEffect.Move move ->
          machines.move(
              move,
              timed(
                  "move",
                  result ->
                      tell(epoch, new PlanEvent.Moved(move.machine(), move.service(), result))));
      case PlanEffect.TellWave tellWave -> status.report(tellWave);
      case PlanEffect.Answer answer -> throw new IllegalArgumentException("answer in a plan");
      case PlanEffect.Resign resign -> throw new IllegalArgumentException("resign in a plan");
      case PlanEffect.Note note -> log(note.event(), note.fields());
    }
  }

  private MachineClient.ListCallback reader(long epoch) {
    long asked = clock.steadyMs();
    return new MachineClient.ListCallback() {
      @Override
      public void onList(List<MachineEntry> all) {
        tell(epoch, new PlanEvent.MachinesRead(asked, all));
      }

      @Override
      public void onFailure(String why) {
        tell(epoch, new PlanEvent.MachinesUnknown(why));
      }
    };
  }

  private void append(PlanEffect.Append append) {
    long sent = clock.steadyMs();
    jobs.append(
        append.epoch(),
        append.sequence(),
        append.records(),
        timed(
            "append",
            verdict ->
                tell(append.epoch(), new PlanEvent.Appended(append.sequence(), sent, verdict))));
  }

  /** Measures from now until it is told what became of an order. */
  private <R> Consumer<R> timed(String order, Consumer<R> done) {
    long begun = System.nanoTime();
    return result -> {
      times.record(order + " " + outcome(result), System.nanoTime() - begun);
      done.accept(result);
    };
  }

  private static String outcome(Object result) {
    return switch (result) {
      case OrderResult.Rejected rejected -> rejected.reason().name();
      case LeaseRenewalResult.Failed failed -> outcome(failed.outcome());
      case Enum<?> verdict -> verdict.name();
      default -> result.getClass().getSimpleName();
    };
  }

  private void tell(long epoch, PlanEvent event) {
    events.accept(new NodeEvent.ForPlan(epoch, event));
  }
}
