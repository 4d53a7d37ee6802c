package dev.toucanstall.core.event;

import dev.toucanstall.core.model.MemberId;
import dev.toucanstall.core.settings.Assignment;
import java.util.List;

/** A request of an operator to an entry instance. Encoded with its kind and component names. */
public sealed interface OperatorRequest {

  /**
   * Requests the settings at and below a path.
   *
   * @param path the path, such as "/teams/a"
   */
  record ShowSettings(String path) implements OperatorRequest {}

  /**
   * Requests a change of settings.
   *
   * @param change id that the operator gave the change; a change of the same id has effect once
   * @param subtree path that the operator read before the change
   * @param base version of that subtree when it was read
   * @param author author of the change, for the history
   * @param assignments new values
   */
  record ChangeSettings(
      String change, String subtree, long base, String author, List<Assignment> assignments)
      implements OperatorRequest {

    /** Copies the list of assignments. */
    public ChangeSettings {
      assignments = List.copyOf(assignments);
    }
  }

  /**
   * Requests the members on which a record of the log is in force.
   *
   * @param offset offset of the record
   */
  record ShowInForce(long offset) implements OperatorRequest {}

  /**
   * Requests the outcome of a change.
   *
   * @param change id of the change
   */
  record ShowChange(String change) implements OperatorRequest {}

  /** Requests the last accepted changes. */
  record ShowHistory() implements OperatorRequest {}

  /** Requests the instances of the fleet. */
  record ShowInstances() implements OperatorRequest {}

  /** Requests the waves with their progress. */
  record ShowWaves() implements OperatorRequest {}

  /** Requests the names that callers requested and that match no service or alias. */
  record ShowUnknownNames() implements OperatorRequest {}

  /** Requests the status of this entry instance and its view of the other members. */
  record ShowStatus() implements OperatorRequest {}

  /**
   * Requests the latest decisions whose subject starts with a text.
   *
   * @param subject the text, such as "instance/a1", "team/t" or "wave/w"; empty for all decisions
   */
  record Explain(String subject) implements OperatorRequest {}

  /**
   * Requests the removal of a member whose process has ended, as the operator asserts.
   *
   * @param change id that the operator gave the request
   * @param member name of the member
   */
  record RemoveMember(String change, MemberId member) implements OperatorRequest {}
}
