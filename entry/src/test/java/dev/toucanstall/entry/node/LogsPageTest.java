package dev.toucanstall.entry.node;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** The page of log lines and the code name the same events. */
final class LogsPageTest {

  private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();

  /** What runs on the platform; the product's own processes have events of their own. */
  private static final List<String> SOURCE_FOLDERS =
      List.of(
          "core/src/main/java/dev/toucanstall/core/node",
          "core/src/main/java/dev/toucanstall/core/plan",
          "entry/src/main/java/dev/toucanstall/entry/node",
          "platform/src/main/java",
          "runtime/src/main/java/dev/toucanstall/runtime/http",
          "runtime/src/main/java/dev/toucanstall/runtime/link",
          "runtime/src/main/java/dev/toucanstall/runtime/loop");

  private static final Pattern EVENT_IN_CODE =
      Pattern.compile(
          "(?:LogLine\\s*\\.of|\\blogEvent|\\blogCallEnd)\\(\\s*(?:node,\\s*)?\"([a-z-]+)\"");

  private static final Pattern EVENT_ON_PAGE = Pattern.compile("`([a-z-]+)`");

  private static String readSources() throws IOException {
    List<String> sources = new ArrayList<>();
    for (String folder : SOURCE_FOLDERS) {
      try (Stream<Path> files = Files.walk(ROOT.resolve(folder))) {
        for (Path file : files.filter(path -> path.toString().endsWith(".java")).toList()) {
          sources.add(Files.readString(file));
        }
      }
    }
    return String.join("\n", sources);
  }

  private static Set<String> readEventsOnPage() throws IOException {
    return Files.readAllLines(ROOT.resolve("docs/LOGS.md")).stream()
        .dropWhile(line -> !line.startsWith("| Event |"))
        .skip(2)
        .takeWhile(line -> line.startsWith("|"))
        .flatMap(line -> EVENT_ON_PAGE.matcher(line.split("\\|", -1)[1]).results())
        .map(match -> match.group(1))
        .collect(Collectors.toCollection(TreeSet::new));
  }

  /** Guards against a line that is met in an incident and explained nowhere. */
  @Test
  void eventsInCodeAreOnPage() throws IOException {
    Set<String> logged =
        EVENT_IN_CODE
            .matcher(readSources())
            .results()
            .map(match -> match.group(1))
            .collect(Collectors.toCollection(TreeSet::new));
    assertThat(logged).contains("control-load");
    logged.removeAll(readEventsOnPage());
    assertThat(logged).isEmpty();
  }

  /** Guards against a page that tells to look for a line that is never written. */
  @Test
  void eventsOnPageAreInCode() throws IOException {
    String sources = readSources();
    assertThat(readEventsOnPage()).contains("control-load");
    for (String event : readEventsOnPage()) {
      assertWithMessage("event \"%s\" is written nowhere", event)
          .that(sources.contains('"' + event + '"'))
          .isTrue();
    }
  }
}
