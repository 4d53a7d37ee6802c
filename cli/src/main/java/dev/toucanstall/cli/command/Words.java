package dev.toucanstall.cli.command;

import java.util.List;

/** Checks of the words of a command. Stateless. */
final class Words {

  private Words() {}

  /** Asserts that a command has a number of words. */
  static void requireCount(List<String> words, int count, String usage) {
    if (words.size() != count) {
      throw new IllegalArgumentException(
          "expected: toucanstall %s, found %d words".formatted(usage, words.size()));
    }
  }
}
