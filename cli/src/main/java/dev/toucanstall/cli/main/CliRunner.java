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

/** Runs a command: passes events to the reducer and carries out its effects. Not thread-safe. */
final class CliRunner {

  private static final JsonCodec<OperatorRequest> REQUEST_CODEC =
      JsonCodec.of(OperatorRequest.class);
  private static final JsonCodec<OperatorAnswer> ANSWER_CODEC = JsonCodec.of(OperatorAnswer.class);
  private static final JsonCodec<BurnReport> BURN_REPORT_CODEC = JsonCodec.of(BurnReport.class);
  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final int SERVICE_UNAVAILABLE = 503;

  private final BlockingHttpClient calls;
  private final List<String> entryUrls;
  private final String authorization;
  private final OutputFormat output;
  private final PrintStream out;
  private final Deque<CliEvent> events = new ArrayDeque<>();

  CliRunner(
      BlockingHttpClient calls,
      List<String> entryUrls,
      String token,
      OutputFormat output,
      PrintStream out) {
    this.calls = calls;
    this.entryUrls = entryUrls;
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
      case CliEffect.SendRequest send -> events.add(requestFromAny(send.request()));
      case CliEffect.FetchBurnReports send -> events.add(fetchBurnReports());
      case CliEffect.Print print -> out.println(print.text());
      case CliEffect.Show show -> out.println(output.format(show.value()));
      case CliEffect.WriteFile write -> write(write);
      case CliEffect.Sleep sleep -> {
        Thread.sleep(sleep.millis());
        events.add(new CliEvent.SleepElapsed());
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

  private CliEvent requestFromAny(OperatorRequest request) throws InterruptedException {
    boolean isChange =
        request instanceof OperatorRequest.ChangeSettings
            || request instanceof OperatorRequest.RemoveMember;
    CliEvent last = new CliEvent.Unanswered("no entry instance is named", false);
    for (String url : entryUrls) {
      last = requestFrom(url, request, isChange);
      boolean isFinal =
          last instanceof CliEvent.Answered
              || (last instanceof CliEvent.Unanswered unanswered && unanswered.mayHaveRun());
      if (isFinal) {
        return last;
      }
    }
    return last;
  }

  private CliEvent requestFrom(String url, OperatorRequest request, boolean isChange)
      throws InterruptedException {
    try {
      BlockingHttpClient.Response reply =
          calls.send(
              "POST", url + "/operator", authorization, REQUEST_CODEC.encode(request), TIMEOUT);
      if (!reply.isOk()) {
        String reason = "%s answered %d: %s".formatted(url, reply.status(), reply.body().strip());
        return new CliEvent.Unanswered(reason, isChange && reply.status() == SERVICE_UNAVAILABLE);
      }
      return switch (ANSWER_CODEC.decode(reply.body())) {
        case Decoded.Value<OperatorAnswer> answer -> new CliEvent.Answered(answer.value());
        case Decoded.Malformed<OperatorAnswer> malformed ->
            new CliEvent.Unanswered(url + " answered with " + malformed.reason(), isChange);
      };
    } catch (IOException e) {
      boolean connectionRefused = String.valueOf(e.getCause()).contains("ConnectException");
      return new CliEvent.Unanswered(url + " does not answer", isChange && !connectionRefused);
    }
  }

  private CliEvent fetchBurnReports() throws InterruptedException {
    List<BurnReport> reports = new ArrayList<>();
    List<String> unreachable = new ArrayList<>();
    for (String url : entryUrls) {
      try {
        BlockingHttpClient.Response reply =
            calls.send("GET", url + "/operator/burn", authorization, "", TIMEOUT);
        switch (BURN_REPORT_CODEC.decode(reply.body())) {
          case Decoded.Value<BurnReport> report -> reports.add(report.value());
          case Decoded.Malformed<BurnReport> malformed -> unreachable.add(url);
        }
      } catch (IOException e) {
        unreachable.add(url);
      }
    }
    return new CliEvent.BurnReportsReceived(reports, unreachable);
  }
}
