package dev.toucanstall.core.settings;

/**
 * Service-level objective of a team. Immutable.
 *
 * @param startMillis time from the arrival within which an urgent request is to start, in
 *     milliseconds
 * @param successPartsPerMillion required ratio of requests that start in time and succeed, in parts
 *     per million
 */
public record Objective(long startMillis, long successPartsPerMillion) {

  /** Objective of a team without a setting: 99.9 percent start within 3.1 s and succeed. */
  public static final Objective DEFAULT = new Objective(3_100, 999_000);
}
