package dev.toucanstall.core.settings;

/**
 * A service-level objective.
 *
 * @param startMillis within how many milliseconds an urgent request starts
 * @param successPartsPerMillion how many of a million requests succeed in that way
 */
public record Objective(long startMillis, long successPartsPerMillion) {

  /** The objective of a team without a setting: started within 3.1 s, 99.9 percent. */
  public static final Objective DEFAULT = new Objective(3_100, 999_000);
}
