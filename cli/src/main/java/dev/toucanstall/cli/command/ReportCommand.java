package dev.toucanstall.cli.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import dev.toucanstall.cli.flow.CliEffect;
import dev.toucanstall.cli.flow.CliEvent;
import dev.toucanstall.cli.flow.ExitStatus;
import dev.toucanstall.cli.flow.Flow;
import dev.toucanstall.cli.report.BurnHtml;
import dev.toucanstall.cli.report.BurnSummary;
import dev.toucanstall.cli.report.BurnText;
import dev.toucanstall.core.effect.OperatorAnswer;
import dev.toucanstall.core.event.OperatorRequest;
import dev.toucanstall.runtime.loop.Decision;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;

/** Reports the error-budget burn of service-level objectives, merged over all entry instances. */
@Parameters(commandDescription = "Reports; example: toucanstall report burn --html burn.html")
public final class ReportCommand implements Command {

  @Parameter(description = "burn")
  private List<String> arguments = new ArrayList<>();

  @Parameter(names = "--team", description = "Only this team")
  private String team = "";

  @Parameter(names = "--service", description = "Only this service")
  private String service = "";

  @Parameter(names = "--html", description = "Write a page with plots to this file")
  private String html = "";

  @Parameter(names = "--json", description = "Print JSON instead of text")
  private boolean json;

  @Override
  public Decision<Flow, CliEffect> start() {
    if (!arguments.equals(List.of("burn"))) {
      throw new IllegalArgumentException("expected: toucanstall report burn");
    }
    return Flow.request(
        new OperatorRequest.ShowSettings("/teams"),
        answer ->
            answer instanceof OperatorAnswer.SettingsShown shown
                ? fetchReports(shown.values())
                : Flow.showAndExit(answer));
  }

  private Decision<Flow, CliEffect> fetchReports(SortedMap<String, String> settings) {
    Flow next =
        event ->
            event instanceof CliEvent.BurnReportsReceived received
                ? showReport(received, settings)
                : Flow.exit(ExitStatus.UNREACHABLE);
    return Decision.of(next, new CliEffect.FetchBurnReports());
  }

  private Decision<Flow, CliEffect> showReport(
      CliEvent.BurnReportsReceived received, SortedMap<String, String> settings) {
    if (received.reports().isEmpty()) {
      return Flow.printAndExit("no entry instance answered", ExitStatus.UNREACHABLE);
    }
    BurnSummary summary =
        BurnSummary.of(received.reports(), received.unreachable(), settings, team, service);
    List<CliEffect> effects = new ArrayList<>();
    if (!html.isEmpty()) {
      effects.add(new CliEffect.WriteFile(html, BurnHtml.render(summary)));
    }
    effects.add(json ? new CliEffect.Show(summary) : new CliEffect.Print(BurnText.render(summary)));
    return Flow.exit(ExitStatus.SUCCESS, effects.toArray(new CliEffect[0]));
  }
}
