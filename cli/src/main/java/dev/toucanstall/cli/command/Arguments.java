package dev.toucanstall.cli.command;

import java.util.List;

/** Checks of the positional arguments of a command. Stateless. */
final class Arguments {

  private Arguments() {}

  /** Requires an exact number of positional arguments. */
  static void requireCount(List<String> arguments, int count, String usage) {
    if (arguments.size() != count) {
      throw new IllegalArgumentException(
          "expected: toucanstall %s, found %d words".formatted(usage, arguments.size()));
    }
  }
}
