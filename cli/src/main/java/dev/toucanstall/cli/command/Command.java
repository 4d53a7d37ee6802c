package dev.toucanstall.cli.command;

import dev.toucanstall.cli.flow.CliEffect;
import dev.toucanstall.cli.flow.Flow;
import dev.toucanstall.runtime.loop.Decision;

/** Command of an operator. The parser fills the fields from the command line. */
@FunctionalInterface
public interface Command {

  /**
   * Starts the command.
   *
   * @return first decision of the command
   * @throws IllegalArgumentException if the arguments of the command line are malformed
   */
  Decision<Flow, CliEffect> start();
}
