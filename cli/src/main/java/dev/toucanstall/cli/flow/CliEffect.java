package dev.toucanstall.cli.flow;

import dev.toucanstall.core.event.OperatorRequest;

/** Side effect that a command leaves to its runner. */
public sealed interface CliEffect {

  /** Sends a request to the entry instances in turn until one answers or may have run it. */
  record SendRequest(OperatorRequest request) implements CliEffect {}

  /** Fetches the burn report of each entry instance. */
  record FetchBurnReports() implements CliEffect {}

  /** Prints a text and a line break. */
  record Print(String text) implements CliEffect {}

  /**
   * Prints a value in the format of the option {@code --output}.
   *
   * @param value record with the fields to print
   */
  record Show(Object value) implements CliEffect {}

  /** Writes a text file, replacing an existing one. */
  record WriteFile(String file, String text) implements CliEffect {}

  /** Sleeps for some milliseconds. */
  record Sleep(long millis) implements CliEffect {}

  /**
   * Ends the command.
   *
   * @param status one of {@link ExitStatus}
   */
  record Exit(int status) implements CliEffect {}
}
