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
final class NodeEffectRunner implements Consumer<NodeEffect> {

  private static final Logger LOG = LogManager.getLogger(NodeEffectRunner.class);

  private final PlatformSettings settings;
  private final SteadyClock clock;
  private final Consumer<NodeEvent> events;
  private final JobHandler jobHandler;
  private final PlannerServer plannerServer;
  private final PlannerLink plannerLink;
  private final JobLog jobLog;
  private final OrderClient orderClient;
  private final MachineClient machineClient;
  private final WaveStatusWriter waveStatusWriter;
  private final SynchronizedHistogramsByKind orderLatencies;
  private final ProcessControl process;

  /** Parts of the process that start, stop or change while it runs. */
  interface ProcessControl {

    /**
     * Returns the membership in the group from which the store picks the planner.
     *
     * @throws IllegalStateException if the process has not started
     */
    PlannerGroup group();

    /** Starts to read the list of backend servers, for the term of {@code epoch}. */
    void watchServers(long epoch);

    /** Stops reading the list of backend servers; no effect if the list is not being read. */
    void stopWatchingServers();

    /** Sets the answer to readiness probes. */
    void setReady(boolean ready);

    /** Lets the process end. */
    void exit();
  }

  NodeEffectRunner(
      PlatformSettings settings,
      SteadyClock clock,
      Consumer<NodeEvent> events,
      JobHandler jobHandler,
      PlannerServer plannerServer,
      PlannerLink plannerLink,
      JobLog jobLog,
      OrderClient orderClient,
      MachineClient machineClient,
      WaveStatusWriter waveStatusWriter,
      SynchronizedHistogramsByKind orderLatencies,
      ProcessControl process) {
    this.settings = settings;
    this.clock = clock;
    this.events = events;
    this.jobHandler = jobHandler;
    this.plannerServer = plannerServer;
    this.plannerLink = plannerLink;
    this.jobLog = jobLog;
    this.orderClient = orderClient;
    this.machineClient = machineClient;
    this.waveStatusWriter = waveStatusWriter;
    this.orderLatencies = orderLatencies;
    this.process = process;
  }

  /**
   * Carries out an effect. One that throws is reported like a call without an answer, so that
   * nothing waits for its result.
   */
  @Override
  public void accept(NodeEffect effect) {
    try {
      carryOut(effect);
    } catch (RuntimeException e) {
      LogLine.of("effect-failed").with("effect", effect.getClass().getSimpleName()).error(LOG, e);
      EffectFailures.resultOf(effect, clock.steadyMs(), e.toString()).ifPresent(events);
    }
  }

  private void carryOut(NodeEffect effect) {
    switch (effect) {
      case NodeEffect.Answer answer -> jobHandler.answer(answer.ticket(), answer.answer());
      case NodeEffect.AskPeer request ->
          plannerLink.sendCall(request.planner(), request.ticket(), request.call());
      case NodeEffect.AnswerPeer answer ->
          reply(answer, new NodeMessage.Reply(answer.number(), answer.answer()));
      case NodeEffect.AnswerPing answer ->
          plannerServer.send(
              answer.link(),
              new NodeMessage.Pong(
                  answer.plans(), answer.yields(), answer.logEnd(), answer.confirmedAgeMs()));
      case NodeEffect.DeclinePeer decline ->
          reply(decline, new NodeMessage.NotPlanner(decline.number(), decline.maybeStored()));
      case NodeEffect.Follow follow -> plannerLink.follow(follow.planner());
      case NodeEffect.Elect elect ->
          Thread.ofPlatform().name("election").daemon().start(() -> elect(elect.lastEpoch()));
      case NodeEffect.Announce announce -> {
        process.watchServers(announce.epoch());
        announce(announce.epoch());
      }
      case NodeEffect.EndTerm endTerm -> process.stopWatchingServers();
      case NodeEffect.OfPlan planEffect -> runPlanEffect(planEffect.epoch(), planEffect.effect());
      case NodeEffect.HurryGroup request ->
          process.group().setPlannerMissing(request.plannerMissing());
      case NodeEffect.SetGroupMembership membership ->
          process.group().setMember(membership.member());
      case NodeEffect.LeaveGroup leave -> process.group().leave();
      case NodeEffect.OfferCores offer -> plannerLink.setOfferedCores(offer.cores());
      case NodeEffect.SetReady ready -> process.setReady(ready.ready());
      case NodeEffect.EndConnections endConnections -> jobHandler.endConnections();
      case NodeEffect.Exit exit -> process.exit();
      case NodeEffect.Note logged -> log(logged.event(), logged.fields());
    }
  }

  private void reply(NodeEffect.PeerReply reply, NodeMessage message) {
    if (!plannerServer.send(reply.link(), message)) {
      events.accept(new NodeEvent.ReplyUnsent(reply));
    }
  }

  private static void log(String event, Map<String, String> fields) {
    LogLine line = LogLine.of(event);
    fields.forEach(line::with);
    line.info(LOG);
  }

  private Leader ownLeaderRecord(long epoch) {
    return new Leader(epoch, settings.instanceName(), settings.peerAddress());
  }

  private void elect(long lastEpoch) {
    try {
      events.accept(
          switch (jobLog.elect(ownLeaderRecord(lastEpoch))) {
            case JobLog.ElectionResult.Won won ->
                new NodeEvent.Elected(
                    won.epoch(),
                    won.nextSequence(),
                    won.records(),
                    won.predecessor(),
                    won.fencedMs(),
                    won.logEnd());
            case JobLog.ElectionResult.Unreadable unreadable ->
                new NodeEvent.RecordsUnreadable(unreadable.reason());
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
    jobLog.announce(
        ownLeaderRecord(epoch),
        settings.size().cores(),
        result -> {
          if (result != StoreResult.DONE && result != StoreResult.FENCED) {
            announce(epoch);
          }
        });
  }

  private void runPlanEffect(long epoch, PlanEffect effect) {
    switch (effect) {
      case PlanEffect.Append append -> append(append);
      case PlanEffect.Hold renewal -> {
        long sentMs = clock.steadyMs();
        orderClient.renewLease(
            renewal,
            timed(
                "renew",
                result ->
                    postPlanEvent(
                        epoch,
                        new PlanEvent.Held(
                            renewal.server().id(),
                            renewal.server().startTimeMs(),
                            renewal.acknowledgedCompletion(),
                            sentMs,
                            result))));
      }
      case PlanEffect.Start start ->
          orderClient.start(
              start,
              timed(
                  "start",
                  result ->
                      postPlanEvent(
                          epoch,
                          new PlanEvent.Started(
                              start.server().id(),
                              start.server().startTimeMs(),
                              start.task(),
                              start.run(),
                              result))));
      case PlanEffect.Stop stop ->
          orderClient.stop(
              stop,
              timed(
                  "stop",
                  result ->
                      postPlanEvent(
                          epoch,
                          new PlanEvent.Stopped(
                              stop.server().id(),
                              stop.server().startTimeMs(),
                              stop.task(),
                              stop.run(),
                              result))));
      case PlanEffect.Pace pace -> orderClient.setRate(pace, result -> {});
      case PlanEffect.ListMachines list -> machineClient.list(machineListCallback(epoch));
      case PlanEffect.Maintain maintain ->
          machineClient.maintain(
              maintain,
              result ->
                  postPlanEvent(
                      epoch,
                      new PlanEvent.Maintained(maintain.wave(), maintain.machine(), result)));
      case PlanEffect.Move move ->
          machineClient.move(
              move,
              timed(
                  "move",
                  result ->
                      postPlanEvent(
                          epoch, new PlanEvent.Moved(move.machine(), move.service(), result))));
      case PlanEffect.TellWave tellWave -> waveStatusWriter.report(tellWave);
      case PlanEffect.Answer answer ->
          throw new IllegalArgumentException("effect \"Answer\" must be converted by the node");
      case PlanEffect.Resign resign ->
          throw new IllegalArgumentException("effect \"Resign\" must be handled by the node");
      case PlanEffect.Note logged -> log(logged.event(), logged.fields());
    }
  }

  private MachineClient.ListCallback machineListCallback(long epoch) {
    long requestedMs = clock.steadyMs();
    return new MachineClient.ListCallback() {
      @Override
      public void onList(List<MachineEntry> machines) {
        postPlanEvent(epoch, new PlanEvent.MachinesRead(requestedMs, machines));
      }

      @Override
      public void onFailure(String reason) {
        postPlanEvent(epoch, new PlanEvent.MachinesUnknown(reason));
      }
    };
  }

  private void append(PlanEffect.Append append) {
    long sentMs = clock.steadyMs();
    Consumer<StoreResult> latencyRecorder = timed("append", result -> {});
    jobLog.append(
        append.epoch(),
        append.sequence(),
        append.records(),
        (result, logEnd) -> {
          latencyRecorder.accept(result);
          postPlanEvent(
              append.epoch(), new PlanEvent.Appended(append.sequence(), sentMs, result, logEnd));
        });
  }

  /** Wraps a receiver so that the time from this call to the result is recorded. */
  private <R> Consumer<R> timed(String kind, Consumer<R> receiver) {
    long startNanos = System.nanoTime();
    return result -> {
      orderLatencies.record(kind + " " + outcome(result), System.nanoTime() - startNanos);
      receiver.accept(result);
    };
  }

  private static String outcome(Object result) {
    return switch (result) {
      case OrderResult.Rejected rejected -> rejected.reason().name();
      case LeaseRenewalResult.Failed failed -> outcome(failed.outcome());
      case Enum<?> constant -> constant.name();
      default -> result.getClass().getSimpleName();
    };
  }

  private void postPlanEvent(long epoch, PlanEvent event) {
    events.accept(new NodeEvent.ForPlan(epoch, event));
  }
}
