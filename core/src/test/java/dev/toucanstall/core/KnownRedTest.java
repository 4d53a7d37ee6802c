package dev.toucanstall.core;

import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Collector;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Checks that the tests which the build skips as known failures are exactly those that
 * KNOWN-RED.txt lists.
 */
final class KnownRedTest {

  /** Root of the source tree, seen from the folder of the module that the tests run in. */
  private static final Path ROOT = Path.of("..");

  /** List of the known failures; absent if there are none. */
  private static final Path LIST = ROOT.resolve("KNOWN-RED.txt");

  private static final Path TESTS = Path.of("src", "test", "java");
  private static final Pattern LISTED_TEST = Pattern.compile("(?m)^(\\w+Test#\\w+)$");
  private static final Pattern TAGGED_TEST =
      Pattern.compile("@Tag\\(\"known-red\"\\)\\s+(?:@\\w+\\s+)*void (\\w+)\\(");

  /** Tag of a known failure, wherever it stands. */
  private static final Pattern TAG = Pattern.compile("@Tag\\(\"known-red\"");

  /**
   * Guards against a test that the build skips but the list of known failing tests lacks, and
   * against a test on that list that the build runs.
   */
  @Test
  void taggedTestsMatchList() throws IOException {
    Set<String> listedTests =
        Files.exists(LIST)
            ? LISTED_TEST
                .matcher(Files.readString(LIST))
                .results()
                .map(m -> m.group(1))
                .collect(toSortedSet())
            : Set.of();
    assertWithMessage("tests tagged as known failures").that(taggedTests()).isEqualTo(listedTests);
  }

  private static Set<String> taggedTests() throws IOException {
    try (Stream<Path> modules = Files.list(ROOT)) {
      return modules
          .map(m -> m.resolve(TESTS))
          .filter(Files::isDirectory)
          .flatMap(KnownRedTest::javaFiles)
          .filter(f -> !f.endsWith("KnownRedTest.java"))
          .flatMap(KnownRedTest::taggedTestsIn)
          .collect(toSortedSet());
    }
  }

  private static Stream<Path> javaFiles(Path folder) {
    try (Stream<Path> files = Files.walk(folder)) {
      return files.filter(f -> f.toString().endsWith(".java")).toList().stream();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the tagged tests of a file; fails if a tag doesn't stand before a test method. */
  private static Stream<String> taggedTestsIn(Path file) {
    String className = file.getFileName().toString().replace(".java", "");
    String source = read(file);
    Set<String> tests =
        TAGGED_TEST
            .matcher(source)
            .results()
            .map((MatchResult m) -> m.group(1))
            .collect(toSortedSet());
    assertWithMessage("tags of %s that stand before a test method", className)
        .that(tests)
        .hasSize((int) TAG.matcher(source).results().count());
    return tests.stream().map(method -> className + "#" + method);
  }

  private static String read(Path file) {
    try {
      return Files.readString(file);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static Collector<String, ?, TreeSet<String>> toSortedSet() {
    return Collectors.toCollection(TreeSet::new);
  }
}
