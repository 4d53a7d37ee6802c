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

/** The commands about the fleet and the entry instances. */
public final class FleetCommands {

  private FleetCommands() {}

  /** Starts, pauses and shows waves. */
  @Parameters(
      commandDescription =
          "Maintenance waves; example: toucanstall wave start w1 --pool maps --parallel 2")
  public static final class Wave implements Command {

    @Parameter(description = "start NAME | pause NAME | resume NAME | status")
    private List<String> words = new ArrayList<>();

    @Parameter(names = "--pool", description = "The pool that the wave visits")
    private String pool = "";

    @Parameter(names = "--parallel", description = "Most instances drained at once")
    private int parallel = 1;

    @ParametersDelegate private ChangeOptions options = new ChangeOptions();

    @Override
    public Decision<Flow, CliEffect> start() {
      String action = words.isEmpty() ? "status" : words.get(0);
      if (action.equals("status")) {
        return Flow.ask(new OperatorRequest.ShowWaves(), Flow::show);
      }
      Words.requireCount(words, 2, "wave start|pause|resume NAME");
      String path = "/waves/" + words.get(1);
      return switch (action) {
        case "start" ->
            Changes.write(
                List.of(
                    new Assignment(path + "/pool", pool),
                    new Assignment(path + "/parallel", String.valueOf(parallel)),
                    new Assignment(path + "/state", "running")),
                options.manner());
        case "pause" -> setState(path, "paused");
        case "resume" -> setState(path, "running");
        default ->
            throw new IllegalArgumentException(
                "wave action \"%s\" does not exist".formatted(action));
      };
    }

    private Decision<Flow, CliEffect> setState(String path, String state) {
      return Changes.write(List.of(new Assignment(path + "/state", state)), options.manner());
    }
  }

  /** Shows the instances of the fleet. */
  @Parameters(commandDescription = "Show the instances of the fleet")
  public static final class Instances implements Command {

    @Override
    public Decision<Flow, CliEffect> start() {
      return Flow.ask(new OperatorRequest.ShowInstances(), Flow::show);
    }
  }

  /** Shows names that no setting knows. */
  @Parameters(commandDescription = "Show names that callers asked for and no setting knows")
  public static final class UnknownNames implements Command {

    @Override
    public Decision<Flow, CliEffect> start() {
      return Flow.ask(new OperatorRequest.ShowUnknownNames(), Flow::show);
    }
  }

  /** Shows the state of an entry instance. */
  @Parameters(commandDescription = "Show an entry instance and how it sees the others")
  public static final class Status implements Command {

    @Override
    public Decision<Flow, CliEffect> start() {
      return Flow.ask(new OperatorRequest.ShowStatus(), Flow::show);
    }
  }

  /** Tells from recorded decisions what was done and why. */
  @Parameters(
      commandDescription =
          "Tell what was decided and why; example: toucanstall explain instance/w1")
  public static final class Explain implements Command {

    @Parameter(description = "[SUBJECT]")
    private List<String> words = new ArrayList<>();

    @Override
    public Decision<Flow, CliEffect> start() {
      String subject = words.isEmpty() ? "" : words.get(0);
      return Flow.ask(new OperatorRequest.Explain(subject), Flow::show);
    }
  }

  /** Removes an entry instance that has ended. */
  @Parameters(
      commandDescription =
          "Remove an entry instance that has surely ended; example: toucanstall forget e3")
  public static final class Forget implements Command {

    @Parameter(description = "MEMBER")
    private List<String> words = new ArrayList<>();

    @Override
    public Decision<Flow, CliEffect> start() {
      Words.requireCount(words, 1, "forget MEMBER");
      return Flow.ask(
          new OperatorRequest.RemoveMember(
              "forget-" + UUID.randomUUID(), new MemberId(words.get(0))),
          Flow::show);
    }
  }
}
