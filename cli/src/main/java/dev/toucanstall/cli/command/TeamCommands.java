package dev.toucanstall.cli.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import dev.toucanstall.cli.flow.CliEffect;
import dev.toucanstall.cli.flow.ExitStatus;
import dev.toucanstall.cli.flow.Flow;
import dev.toucanstall.core.settings.Assignment;
import dev.toucanstall.runtime.loop.Decision;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HexFormat;
import java.util.List;

/** Commands for teams and their keys. */
public final class TeamCommands {

  private static final int KEY_BYTES = 24;

  private TeamCommands() {}

  /** Creates a team with a share and a limit. */
  @Parameters(
      commandDescription = "Create a team; example: toucanstall team create a --share 2 --limit 40")
  public static final class Team implements Command {

    @Parameter(description = "create NAME")
    private List<String> arguments = new ArrayList<>();

    @Parameter(names = "--share", description = "Weight when everything is full")
    private int share = 1;

    @Parameter(names = "--limit", description = "Most requests running at once", required = true)
    private int limit;

    @ParametersDelegate private ChangeOptions options = new ChangeOptions();

    @Override
    public Decision<Flow, CliEffect> start() {
      Arguments.requireCount(arguments, 2, "team create NAME");
      String path = "/teams/" + arguments.get(1);
      return SettingsChanges.write(
          List.of(
              new Assignment(path + "/share", String.valueOf(share)),
              new Assignment(path + "/limit", String.valueOf(limit))),
          options.writeOptions());
    }
  }

  /** Issues and withdraws keys of teams. */
  @Parameters(commandDescription = "Keys of teams; example: toucanstall key issue a k1")
  public static final class Key implements Command {

    @Parameter(description = "issue TEAM KEY | withdraw TEAM KEY")
    private List<String> arguments = new ArrayList<>();

    @ParametersDelegate private ChangeOptions options = new ChangeOptions();

    @Override
    public Decision<Flow, CliEffect> start() {
      Arguments.requireCount(arguments, 3, "key issue|withdraw TEAM KEY");
      String path = "/teams/%s/keys/%s".formatted(arguments.get(1), arguments.get(2));
      return switch (arguments.get(0)) {
        case "issue" -> issue(path);
        case "withdraw" ->
            SettingsChanges.write(List.of(new Assignment(path, null)), options.writeOptions());
        default ->
            throw new IllegalArgumentException(
                "key action \"%s\" does not exist".formatted(arguments.get(0)));
      };
    }

    private Decision<Flow, CliEffect> issue(String path) {
      byte[] bytes = new byte[KEY_BYTES];
      new SecureRandom().nextBytes(bytes);
      String secret = Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
      Decision<Flow, CliEffect> write =
          SettingsChanges.write(
              List.of(new Assignment(path, digest(secret))), options.writeOptions());
      return new Decision<>(printSecretOnSuccess(write.state(), secret), write.effects());
    }

    /** Prints the secret when the command succeeds. Only the digest is stored. */
    private static Flow printSecretOnSuccess(Flow flow, String secret) {
      return event -> {
        Decision<Flow, CliEffect> next = flow.onEvent(event);
        boolean done = next.effects().contains(new CliEffect.Exit(ExitStatus.SUCCESS));
        if (!done) {
          return new Decision<>(printSecretOnSuccess(next.state(), secret), next.effects());
        }
        List<CliEffect> effects = new ArrayList<>();
        effects.add(new CliEffect.Print("key " + secret));
        effects.addAll(next.effects());
        return new Decision<>(next.state(), effects);
      };
    }

    private static String digest(String secret) {
      try {
        byte[] hash =
            MessageDigest.getInstance("SHA-256").digest(secret.getBytes(StandardCharsets.UTF_8));
        return HexFormat.of().formatHex(hash);
      } catch (NoSuchAlgorithmException e) {
        throw new IllegalStateException("SHA-256 does not exist in this JDK", e);
      }
    }
  }
}
