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

  /**
   * Default objective of a team: 99.9 percent of requests succeed and start in time, urgent ones
   * within 3.1 s.
   */
  public static final Objective DEFAULT = new Objective(3_100, 999_000);
}
