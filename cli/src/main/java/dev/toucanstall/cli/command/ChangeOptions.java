package dev.toucanstall.cli.command;

import com.beust.jcommander.Parameter;

/** Options of commands that change settings. Filled by the parser, then only read. */
public final class ChangeOptions {

  @Parameter(names = "--author", description = "Who makes the change, for the history")
  private String author = System.getProperty("user.name", "operator");

  @Parameter(names = "--wait", description = "\"in-force\" waits until all have the change")
  private String wait = "";

  /** Returns how the change is made. */
  Changes.Manner manner() {
    if (!wait.isEmpty() && !wait.equals("in-force")) {
      throw new IllegalArgumentException("--wait \"%s\" is not \"in-force\"".formatted(wait));
    }
    return new Changes.Manner(author, !wait.isEmpty());
  }
}
