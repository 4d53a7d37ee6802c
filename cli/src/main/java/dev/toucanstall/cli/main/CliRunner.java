package dev.toucanstall.cli.main;

import dev.toucanstall.cli.flow.CliEffect;
import dev.toucanstall.cli.flow.CliEvent;
import dev.toucanstall.cli.flow.ExitStatus;
import dev.toucanstall.cli.flow.Flow;
import dev.toucanstall.core.effect.OperatorAnswer;
import dev.toucanstall.core.event.OperatorRequest;
import dev.toucanstall.runtime.http.BlockingHttpClient;
import dev.toucanstall.runtime.loop.Decision;
import dev.toucanstall.wire.Decoded;
import dev.toucanstall.wire.json.JsonCodec;
import dev.toucanstall.wire.report.BurnReport;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** Runs a command: feeds events to its reducer and carries out the effects. Used by one thread. */
final class CliRunner {

  private static final JsonCodec<OperatorRequest> REQUESTS = JsonCodec.of(OperatorRequest.class);
  private static final JsonCodec<OperatorAnswer> ANSWERS = JsonCodec.of(OperatorAnswer.class);
  private static final JsonCodec<BurnReport> BURN = JsonCodec.of(BurnReport.class);
  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final int UNAVAILABLE = 503;

  private final BlockingHttpClient calls;
  private final List<String> entries;
  private final String authorization;
  private final Output output;
  private final PrintStream out;
  private final Deque<CliEvent> events = new ArrayDeque<>();

  CliRunner(
      BlockingHttpClient calls,
      List<String> entries,
      String token,
      Output output,
      PrintStream out) {
    this.calls = calls;
    this.entries = entries;
    this.authorization = token.isEmpty() ? "" : "Bearer " + token;
    this.output = output;
    this.out = out;
  }

  /** Runs a command to its end and returns the exit status. */
  int run(Decision<Flow, CliEffect> first) throws InterruptedException {
    Decision<Flow, CliEffect> decision = first;
    while (true) {
      for (CliEffect effect : decision.effects()) {
        Integer status = carryOut(effect);
        if (status != null) {
          return status;
        }
      }
      CliEvent event = events.poll();
      if (event == null) {
        return ExitStatus.UNREACHABLE;
      }
      decision = Flow.reduce(decision.state(), event);
    }
  }

  private @Nullable Integer carryOut(CliEffect effect) throws InterruptedException {
    switch (effect) {
      case CliEffect.Ask ask -> events.add(ask(ask.request()));
      case CliEffect.AskBurn ask -> events.add(askBurn());
      case CliEffect.Print print -> out.println(print.text());
      case CliEffect.Show show -> out.println(output.format(show.value()));
      case CliEffect.WriteFile write -> write(write);
      case CliEffect.Sleep sleep -> {
        Thread.sleep(sleep.millis());
        events.add(new CliEvent.Woken());
      }
      case CliEffect.Exit exit -> {
        return exit.status();
      }
    }
    return null;
  }

  private void write(CliEffect.WriteFile write) {
    try {
      Files.writeString(Path.of(write.file()), write.text());
      out.println("wrote " + write.file());
    } catch (IOException e) {
      out.println("file \"%s\" is not writable".formatted(write.file()));
    }
  }

  private CliEvent ask(OperatorRequest request) throws InterruptedException {
    boolean changes =
        request instanceof OperatorRequest.ChangeSettings
            || request instanceof OperatorRequest.RemoveMember;
    CliEvent last = new CliEvent.Unanswered("no entry instance is named", false);
    for (String entry : entries) {
      last = askOne(entry, request, changes);
      boolean settled =
          last instanceof CliEvent.Answered
              || (last instanceof CliEvent.Unanswered unanswered && unanswered.mayHaveRun());
      if (settled) {
        return last;
      }
    }
    return last;
  }

  private CliEvent askOne(String entry, OperatorRequest request, boolean changes)
      throws InterruptedException {
    try {
      BlockingHttpClient.Response reply =
          calls.send("POST", entry + "/operator", authorization, REQUESTS.encode(request), TIMEOUT);
      if (!reply.isOk()) {
        String why = "%s answered %d: %s".formatted(entry, reply.status(), reply.body().strip());
        return new CliEvent.Unanswered(why, changes && reply.status() == UNAVAILABLE);
      }
      return switch (ANSWERS.decode(reply.body())) {
        case Decoded.Value<OperatorAnswer> answer -> new CliEvent.Answered(answer.value());
        case Decoded.Malformed<OperatorAnswer> malformed ->
            new CliEvent.Unanswered(entry + " answered with " + malformed.reason(), changes);
      };
    } catch (IOException e) {
      boolean refused = String.valueOf(e.getCause()).contains("ConnectException");
      return new CliEvent.Unanswered(entry + " does not answer", changes && !refused);
    }
  }

  private CliEvent askBurn() throws InterruptedException {
    List<BurnReport> parts = new ArrayList<>();
    List<String> missing = new ArrayList<>();
    for (String entry : entries) {
      try {
        BlockingHttpClient.Response reply =
            calls.send("GET", entry + "/operator/burn", authorization, "", TIMEOUT);
        switch (BURN.decode(reply.body())) {
          case Decoded.Value<BurnReport> part -> parts.add(part.value());
          case Decoded.Malformed<BurnReport> malformed -> missing.add(entry);
        }
      } catch (IOException e) {
        missing.add(entry);
      }
    }
    return new CliEvent.BurnArrived(parts, missing);
  }
}
