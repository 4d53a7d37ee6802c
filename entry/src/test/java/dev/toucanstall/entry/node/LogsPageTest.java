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
  private static final List<String> SOURCES =
      List.of(
          "core/src/main/java/dev/toucanstall/core/node",
          "core/src/main/java/dev/toucanstall/core/plan",
          "entry/src/main/java/dev/toucanstall/entry/node",
          "platform/src/main/java",
          "runtime/src/main/java/dev/toucanstall/runtime/http",
          "runtime/src/main/java/dev/toucanstall/runtime/link",
          "runtime/src/main/java/dev/toucanstall/runtime/loop");

  private static final Pattern WRITTEN =
      Pattern.compile(
          "(?:LogLine\\s*\\.of|\\blogEvent|\\blogCallEnd)\\(\\s*(?:node,\\s*)?\"([a-z-]+)\"");

  private static final Pattern NAMED = Pattern.compile("`([a-z-]+)`");

  private static String code() throws IOException {
    List<String> texts = new ArrayList<>();
    for (String folder : SOURCES) {
      try (Stream<Path> files = Files.walk(ROOT.resolve(folder))) {
        for (Path file : files.filter(f -> f.toString().endsWith(".java")).toList()) {
          texts.add(Files.readString(file));
        }
      }
    }
    return String.join("\n", texts);
  }

  private static Set<String> page() throws IOException {
    return Files.readAllLines(ROOT.resolve("docs/LOGS.md")).stream()
        .dropWhile(line -> !line.startsWith("| Event |"))
        .skip(2)
        .takeWhile(line -> line.startsWith("|"))
        .flatMap(line -> NAMED.matcher(line.split("\\|", -1)[1]).results())
        .map(found -> found.group(1))
        .collect(Collectors.toCollection(TreeSet::new));
  }

  /** Guards against a line that is met in an incident and explained nowhere. */
  @Test
  void eachEventThatIsWrittenIsOnThePage() throws IOException {
    Set<String> written =
        WRITTEN
            .matcher(code())
            .results()
            .map(found -> found.group(1))
            .collect(Collectors.toCollection(TreeSet::new));
    assertThat(written).contains("control-load");
    written.removeAll(page());
    assertThat(written).isEmpty();
  }

  /** Guards against a page that tells to look for a line that is never written. */
  @Test
  void eachEventOnThePageIsInTheCode() throws IOException {
    String code = code();
    assertThat(page()).contains("control-load");
    for (String event : page()) {
      assertWithMessage("event \"%s\" is written nowhere", event)
          .that(code.contains('"' + event + '"'))
          .isTrue();
    }
  }
}
