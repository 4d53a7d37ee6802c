package dev.toucanstall.cli.flow;

import dev.toucanstall.core.event.OperatorRequest;

/** What a command asks the interpreter to carry out. */
public sealed interface CliEffect {

  /**
   * Asks an entry instance.
   *
   * @param request what is asked
   */
  record Ask(OperatorRequest request) implements CliEffect {}

  /** Asks all entry instances for their parts of the burn report. */
  record AskBurn() implements CliEffect {}

  /**
   * Prints a text.
   *
   * @param text the text
   */
  record Print(String text) implements CliEffect {}

  /**
   * Prints a value in the chosen format.
   *
   * @param value a record
   */
  record Show(Object value) implements CliEffect {}

  /**
   * Writes a file.
   *
   * @param file its name
   * @param text its content
   */
  record WriteFile(String file, String text) implements CliEffect {}

  /**
   * Waits.
   *
   * @param millis how long
   */
  record Sleep(long millis) implements CliEffect {}

  /**
   * Ends the command.
   *
   * @param status the exit status
   */
  record Exit(int status) implements CliEffect {}
}
