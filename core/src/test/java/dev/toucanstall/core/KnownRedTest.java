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

/** The tests that the build passes over are exactly those that KNOWN-RED.txt lists. */
final class KnownRedTest {

  private static final Path ROOT = Path.of("..");
  private static final Path LIST = ROOT.resolve("KNOWN-RED.txt");
  private static final Path TESTS = Path.of("src", "test", "java");
  private static final Pattern LISTED = Pattern.compile("(?m)^(\\w+Test#\\w+)$");
  private static final Pattern TAGGED =
      Pattern.compile("@Tag\\(\"known-red\"\\)\\s+(?:@\\w+\\s+)*void (\\w+)\\(");
  private static final Pattern TAG = Pattern.compile("@Tag\\(\"known-red\"");

  @Test
  void testsThatArePassedOverAreListed() throws IOException {
    Set<String> listed =
        Files.exists(LIST)
            ? LISTED
                .matcher(Files.readString(LIST))
                .results()
                .map(m -> m.group(1))
                .collect(sorted())
            : Set.of();
    assertWithMessage("tests tagged as known to be red").that(tagged()).isEqualTo(listed);
  }

  private static Set<String> tagged() throws IOException {
    try (Stream<Path> modules = Files.list(ROOT)) {
      return modules
          .map(m -> m.resolve(TESTS))
          .filter(Files::isDirectory)
          .flatMap(KnownRedTest::files)
          .filter(f -> !f.endsWith("KnownRedTest.java"))
          .flatMap(KnownRedTest::taggedIn)
          .collect(sorted());
    }
  }

  private static Stream<Path> files(Path folder) {
    try (Stream<Path> files = Files.walk(folder)) {
      return files.filter(f -> f.toString().endsWith(".java")).toList().stream();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static Stream<String> taggedIn(Path file) {
    String name = file.getFileName().toString().replace(".java", "");
    String text = read(file);
    Set<String> found =
        TAGGED.matcher(text).results().map((MatchResult m) -> m.group(1)).collect(sorted());
    assertWithMessage("tags of %s that stand before a test", name)
        .that(found)
        .hasSize((int) TAG.matcher(text).results().count());
    return found.stream().map(test -> name + "#" + test);
  }

  private static String read(Path file) {
    try {
      return Files.readString(file);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static Collector<String, ?, TreeSet<String>> sorted() {
    return Collectors.toCollection(TreeSet::new);
  }
}
