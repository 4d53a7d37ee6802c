package dev.toucanstall.core.event;

import dev.toucanstall.core.model.MemberId;
import dev.toucanstall.core.settings.Assignment;
import java.util.List;

/** What an operator may ask of an entry instance. */
public sealed interface OperatorRequest {

  /**
   * Shows the settings at and below a path.
   *
   * @param path the path
   */
  record ShowSettings(String path) implements OperatorRequest {}

  /**
   * Changes settings.
   *
   * @param change the operator's id of the change; the same id is never carried out twice
   * @param subtree the path that was read
   * @param base the version that was read
   * @param author who makes the change
   * @param assignments the new values
   */
  record ChangeSettings(
      String change, String subtree, long base, String author, List<Assignment> assignments)
      implements OperatorRequest {

    /** Creates the request. */
    public ChangeSettings {
      assignments = List.copyOf(assignments);
    }
  }

  /**
   * Asks where a record of the log is in force.
   *
   * @param offset the record's offset
   */
  record ShowInForce(long offset) implements OperatorRequest {}

  /**
   * Asks what became of a change.
   *
   * @param change the id of the change
   */
  record ShowChange(String change) implements OperatorRequest {}

  /** Shows the last accepted changes. */
  record ShowHistory() implements OperatorRequest {}

  /** Shows the instances of the fleet. */
  record ShowInstances() implements OperatorRequest {}

  /** Shows the waves with their progress. */
  record ShowWaves() implements OperatorRequest {}

  /** Shows the names that callers asked for and no setting knows. */
  record ShowUnknownNames() implements OperatorRequest {}

  /** Shows the state of this entry instance and its view of the others. */
  record ShowStatus() implements OperatorRequest {}

  /**
   * Shows the recorded decisions about a subject.
   *
   * @param subject such as "instance/a1", "team/t" or "wave/w"; empty for all
   */
  record Explain(String subject) implements OperatorRequest {}

  /**
   * Asserts that an entry instance has ended and removes it from the members.
   *
   * @param change the operator's id of the request
   * @param member the member
   */
  record RemoveMember(String change, MemberId member) implements OperatorRequest {}
}
