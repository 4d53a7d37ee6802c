package dev.toucanstall.cli.command;

import dev.toucanstall.cli.flow.CliEffect;
import dev.toucanstall.cli.flow.Flow;
import dev.toucanstall.runtime.loop.Decision;

/** A command of operators; its fields are filled from the command line. */
@FunctionalInterface
public interface Command {

  /**
   * Starts the command.
   *
   * @return its first decision
   * @throws IllegalArgumentException if its words are malformed
   */
  Decision<Flow, CliEffect> start();
}
