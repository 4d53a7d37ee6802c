package dev.toucanstall.cli.command;

import com.beust.jcommander.Parameter;

/** Command-line options of commands that change settings. Set only by the parser. */
public final class ChangeOptions {

  @Parameter(names = "--author", description = "Who makes the change, for the history")
  private String author = System.getProperty("user.name", "operator");

  @Parameter(names = "--wait", description = "\"in-force\" waits until all have the change")
  private String wait = "";

  /** Returns the parsed options; fails if {@code --wait} has an unknown value. */
  SettingsChanges.WriteOptions writeOptions() {
    if (!wait.isEmpty() && !wait.equals("in-force")) {
      throw new IllegalArgumentException("--wait \"%s\" is not \"in-force\"".formatted(wait));
    }
    return new SettingsChanges.WriteOptions(author, !wait.isEmpty());
  }
}
