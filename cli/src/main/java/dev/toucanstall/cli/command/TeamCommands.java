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

/** The commands about teams and their keys. */
public final class TeamCommands {

  private static final int KEY_BYTES = 24;

  private TeamCommands() {}

  /** Creates a team. */
  @Parameters(
      commandDescription = "Create a team; example: toucanstall team create a --share 2 --limit 40")
  public static final class Team implements Command {

    @Parameter(description = "create NAME")
    private List<String> words = new ArrayList<>();

    @Parameter(names = "--share", description = "Weight when everything is full")
    private int share = 1;

    @Parameter(names = "--limit", description = "Most requests running at once", required = true)
    private int limit;

    @ParametersDelegate private ChangeOptions options = new ChangeOptions();

    @Override
    public Decision<Flow, CliEffect> start() {
      Words.requireCount(words, 2, "team create NAME");
      String path = "/teams/" + words.get(1);
      return Changes.write(
          List.of(
              new Assignment(path + "/share", String.valueOf(share)),
              new Assignment(path + "/limit", String.valueOf(limit))),
          options.manner());
    }
  }

  /** Issues and withdraws keys. */
  @Parameters(commandDescription = "Keys of teams; example: toucanstall key issue a k1")
  public static final class Key implements Command {

    @Parameter(description = "issue TEAM KEY | withdraw TEAM KEY")
    private List<String> words = new ArrayList<>();

    @ParametersDelegate private ChangeOptions options = new ChangeOptions();

    @Override
    public Decision<Flow, CliEffect> start() {
      Words.requireCount(words, 3, "key issue|withdraw TEAM KEY");
      String path = "/teams/%s/keys/%s".formatted(words.get(1), words.get(2));
      return switch (words.get(0)) {
        case "issue" -> issue(path);
        case "withdraw" -> Changes.write(List.of(new Assignment(path, null)), options.manner());
        default ->
            throw new IllegalArgumentException(
                "key action \"%s\" does not exist".formatted(words.get(0)));
      };
    }

    private Decision<Flow, CliEffect> issue(String path) {
      byte[] bytes = new byte[KEY_BYTES];
      new SecureRandom().nextBytes(bytes);
      String secret = Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
      Decision<Flow, CliEffect> written =
          Changes.write(List.of(new Assignment(path, digest(secret))), options.manner());
      return new Decision<>(announcing(written.state(), secret), written.effects());
    }

    /** Prints the secret once the command has ended well; it is kept nowhere. */
    private static Flow announcing(Flow flow, String secret) {
      return event -> {
        Decision<Flow, CliEffect> next = flow.on(event);
        boolean done = next.effects().contains(new CliEffect.Exit(ExitStatus.DONE));
        if (!done) {
          return new Decision<>(announcing(next.state(), secret), next.effects());
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
