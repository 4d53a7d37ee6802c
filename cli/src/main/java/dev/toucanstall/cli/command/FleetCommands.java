package dev.toucanstall.cli.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import dev.toucanstall.cli.flow.CliEffect;
import dev.toucanstall.cli.flow.Flow;
import dev.toucanstall.core.event.OperatorRequest;
import dev.toucanstall.core.model.MemberId;
import dev.toucanstall.core.settings.Assignment;
import dev.toucanstall.runtime.loop.Decision;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;

/** Commands for the fleet and the entry instances. */
public final class FleetCommands {

  private FleetCommands() {}

  /** Starts, pauses, resumes and shows maintenance waves. */
  @Parameters(
      commandDescription =
          "Maintenance waves; example: toucanstall wave start w1 --pool maps --parallel 2")
  public static final class Wave implements Command {

    @Parameter(description = "start NAME | pause NAME | resume NAME | status")
    private List<String> arguments = new ArrayList<>();

    @Parameter(names = "--pool", description = "The pool that the wave visits")
    private String pool = "";

    @Parameter(names = "--parallel", description = "Most instances drained at once")
    private int parallel = 1;

    @ParametersDelegate private ChangeOptions options = new ChangeOptions();

    @Override
    public Decision<Flow, CliEffect> start() {
      String action = arguments.isEmpty() ? "status" : arguments.get(0);
      if (action.equals("status")) {
        return Flow.request(new OperatorRequest.ShowWaves(), Flow::showAndExit);
      }
      Arguments.requireCount(arguments, 2, "wave start|pause|resume NAME");
      String path = "/waves/" + arguments.get(1);
      return switch (action) {
        case "start" ->
            SettingsChanges.write(
                List.of(
                    new Assignment(path + "/pool", pool),
                    new Assignment(path + "/parallel", String.valueOf(parallel)),
                    new Assignment(path + "/state", "running")),
                options.writeOptions());
        case "pause" -> setState(path, "paused");
        case "resume" -> setState(path, "running");
        default ->
            throw new IllegalArgumentException(
                "wave action \"%s\" does not exist".formatted(action));
      };
    }

    private Decision<Flow, CliEffect> setState(String path, String state) {
      return SettingsChanges.write(
          List.of(new Assignment(path + "/state", state)), options.writeOptions());
    }
  }

  /** Shows the instances of the fleet. */
  @Parameters(commandDescription = "Show the instances of the fleet")
  public static final class Instances implements Command {

    @Override
    public Decision<Flow, CliEffect> start() {
      return Flow.request(new OperatorRequest.ShowInstances(), Flow::showAndExit);
    }
  }

  /** Shows names that callers requested and no setting defines. */
  @Parameters(commandDescription = "Show names that callers asked for and no setting knows")
  public static final class UnknownNames implements Command {

    @Override
    public Decision<Flow, CliEffect> start() {
      return Flow.request(new OperatorRequest.ShowUnknownNames(), Flow::showAndExit);
    }
  }

  /** Shows an entry instance and the state of the peers as known to that instance. */
  @Parameters(commandDescription = "Show an entry instance and how it sees the others")
  public static final class Status implements Command {

    @Override
    public Decision<Flow, CliEffect> start() {
      return Flow.request(new OperatorRequest.ShowStatus(), Flow::showAndExit);
    }
  }

  /** Explains recorded decisions, of one subject or of all. */
  @Parameters(
      commandDescription =
          "Tell what was decided and why; example: toucanstall explain instance/w1")
  public static final class Explain implements Command {

    @Parameter(description = "[SUBJECT]")
    private List<String> arguments = new ArrayList<>();

    @Override
    public Decision<Flow, CliEffect> start() {
      String subject = arguments.isEmpty() ? "" : arguments.get(0);
      return Flow.request(new OperatorRequest.Explain(subject), Flow::showAndExit);
    }
  }

  /** Removes an entry instance whose process has ended from the membership. */
  @Parameters(
      commandDescription =
          "Remove an entry instance that has surely ended; example: toucanstall forget e3")
  public static final class Forget implements Command {

    @Parameter(description = "MEMBER")
    private List<String> arguments = new ArrayList<>();

    @Override
    public Decision<Flow, CliEffect> start() {
      Arguments.requireCount(arguments, 1, "forget MEMBER");
      return Flow.request(
          new OperatorRequest.RemoveMember(
              "forget-" + UUID.randomUUID(), new MemberId(arguments.get(0))),
          Flow::showAndExit);
    }
  }
}
