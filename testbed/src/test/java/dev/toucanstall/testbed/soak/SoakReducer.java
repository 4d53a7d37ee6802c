package dev.toucanstall.testbed.soak;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.toucanstall.runtime.loop.Decision;
import dev.toucanstall.testbed.soak.SoakState.JobProgress;
import dev.toucanstall.testbed.soak.SoakState.ServerState;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Reducer of the soak's stand-ins and checks over all events; changes the state in place. */
final class SoakReducer {

  static final String KEY = "key-of-tenant-one";
  static final String HOST = "queue.example";
  static final List<String> SERVICES = List.of("alpha", "beta");
  private static final int OK = 200;

  private SoakReducer() {}

  static Decision<SoakState, SoakEffect> reduce(SoakState state, SoakEvent event) {
    List<SoakEffect> effects = new ArrayList<>();
    switch (event) {
      case SoakEvent.Tick tick -> tick(state, tick.at(), effects);
      case SoakEvent.StoreCall call -> StoreRules.call(state, call, effects);
      case SoakEvent.Order order -> BackendRules.order(state, order, effects);
      case SoakEvent.FaultBegins begins ->
          FaultRules.begin(state, begins.at(), begins.fault(), effects);
      case SoakEvent.CutEnds ends -> FaultRules.endCut(state, ends, effects);
      case SoakEvent.ServerStarts starts -> FaultRules.startAgain(state, starts, effects);
      case SoakEvent.JobSent sent -> state.jobs.put(sent.job().id(), new JobProgress(sent.job()));
      case SoakEvent.JobAnswered answered -> answered(state, answered);
      case SoakEvent.StateAnswered answered -> RunChecks.stateAnswered(state, answered, effects);
      case SoakEvent.FaultsEnd end -> FaultRules.end(state, end.at(), effects);
      case SoakEvent.ShowOpen show ->
          effects.add(new SoakEffect.Report(show.handle(), RunChecks.open(state)));
      case SoakEvent.FinalChecks checks -> {
        RunChecks.finish(state, checks.at(), effects);
        effects.add(new SoakEffect.Report(checks.handle(), RunChecks.open(state)));
      }
    }
    return new Decision<>(state, effects);
  }

  private static void tick(SoakState state, long at, List<SoakEffect> effects) {
    if (state.store.topic("keyed.op").records.isEmpty()) {
      byte[] configuration = configuration().toString().getBytes(StandardCharsets.UTF_8);
      StoreRules.put(state, "keyed.op", "config", configuration, effects);
      for (ServerState server : state.servers) {
        BackendRules.start(state, server, false, at, effects);
      }
    }
    BackendRules.tick(state, at, effects);
    StoreRules.tick(state, at, effects);
  }

  private static void answered(SoakState state, SoakEvent.JobAnswered answered) {
    JobProgress progress = state.jobs.get(answered.job());
    if (progress != null) {
      progress.answers.add(answered.status());
      progress.accepted |= answered.status() == OK;
    }
  }

  /** Returns a configuration with a queue for each service, named like the service. */
  private static ObjectNode configuration() {
    ObjectNode root = StoreRules.JSON.createObjectNode().put("version", 1);
    ArrayNode routes = root.putArray("routes");
    ArrayNode services = root.putArray("upstreams");
    for (String service : SERVICES) {
      routes
          .addObject()
          .put("name", service)
          .put("host", HOST)
          .put("pathPrefix", "/" + service + "/")
          .put("upstream", service)
          .put("priority", 0)
          .put("attempts", 3)
          .put("slackFactor", 1.6)
          .put("targetCompletionMs", 600);
      services.addObject().put("name", service).put("admissionCheck", true);
    }
    ObjectNode tenant = root.putArray("tenants").addObject();
    tenant.put("name", "tenant-one").put("weight", 100);
    tenant.putArray("apiKeys").add(KEY);
    tenant.putObject("maximum").put("cpu", 0).put("memMb", 0).put("gpu", 0);
    return root;
  }
}
