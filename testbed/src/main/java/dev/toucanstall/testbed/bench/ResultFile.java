package dev.toucanstall.testbed.bench;

import dev.toucanstall.wire.Decoded;
import dev.toucanstall.wire.json.JsonCodec;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.SortedMap;

/**
 * Result of a benchmark, stored as JSON for later comparison.
 *
 * @param name name of the benchmark
 * @param command command-line options of the run
 * @param seed seed of the run, 0 if the run has none
 * @param values measured values by name; the name ends with the unit
 */
public record ResultFile(String name, String command, long seed, SortedMap<String, Double> values) {

  private static final JsonCodec<ResultFile> CODEC = JsonCodec.of(ResultFile.class);

  /**
   * Writes the result to a file.
   *
   * @throws UncheckedIOException if the file is not writable
   */
  public void write(String file) {
    try {
      Files.writeString(Path.of(file), CODEC.encode(this));
    } catch (IOException e) {
      throw new UncheckedIOException("file \"%s\" is not writable".formatted(file), e);
    }
  }

  /**
   * Reads a result from a file.
   *
   * @throws UncheckedIOException if the file does not exist or is not readable
   * @throws IllegalArgumentException if the file is malformed
   */
  public static ResultFile read(String file) {
    try {
      return switch (CODEC.decode(Files.readString(Path.of(file)))) {
        case Decoded.Value<ResultFile> value -> value.value();
        case Decoded.Malformed<ResultFile> malformed ->
            throw new IllegalArgumentException(
                "file \"%s\" is no result: %s".formatted(file, malformed.reason()));
      };
    } catch (IOException e) {
      throw new UncheckedIOException("file \"%s\" does not exist".formatted(file), e);
    }
  }
}
