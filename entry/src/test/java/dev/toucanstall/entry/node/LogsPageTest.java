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

/** Checks that the log page and the code name the same log events. */
final class LogsPageTest {

  private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();

  /** Code that runs on the users' platform; log events of other processes are not on the page. */
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
          "(?:LogLine\\s*\\.of|\\blogEvent|\\blogUnanswered)\\(\\s*(?:node,\\s*)?\"([a-z-]+)\"");

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

  /** Guards against a log event that operators meet and the page does not explain. */
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

  /** Guards against a page that explains a log event that is never written. */
  @Test
  void eventsOnPageAreInCode() throws IOException {
    String sources = readSources();
    assertThat(readEventsOnPage()).contains("control-load");
    for (String event : readEventsOnPage()) {
      assertWithMessage("event \"%s\" of the page is not in the code", event)
          .that(sources.contains('"' + event + '"'))
          .isTrue();
    }
  }
}
