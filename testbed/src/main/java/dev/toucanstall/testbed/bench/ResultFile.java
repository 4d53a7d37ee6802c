package dev.toucanstall.testbed.bench;

import dev.toucanstall.wire.Decoded;
import dev.toucanstall.wire.json.JsonCodec;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.SortedMap;

/**
 * The result of a benchmark, for later comparison.
 *
 * @param name the benchmark
 * @param command how it was run
 * @param seed its seed
 * @param values the measured values by name, the unit at the end of each name
 */
public record ResultFile(String name, String command, long seed, SortedMap<String, Double> values) {

  private static final JsonCodec<ResultFile> CODEC = JsonCodec.of(ResultFile.class);

  /**
   * Writes the file.
   *
   * @param file its name
   */
  public void write(String file) {
    try {
      Files.writeString(Path.of(file), CODEC.encode(this));
    } catch (IOException e) {
      throw new UncheckedIOException("file \"%s\" is not writable".formatted(file), e);
    }
  }

  /**
   * Reads a file.
   *
   * @param file its name
   * @return the result
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
