package dev.toucanstall.core.peer;

import dev.toucanstall.core.model.InstanceId;
import dev.toucanstall.core.model.TeamId;

/** What slots are counted for. */
public sealed interface SlotKey {

  /**
   * Requests of a team that run at once across the fleet.
   *
   * @param team the team
   */
  record OfTeam(TeamId team) implements SlotKey {

    @Override
    public String subject() {
      return "team/" + team.value();
    }
  }

  /**
   * Requests that run at once on one backend server.
   *
   * @param instance its instance
   */
  record OfInstance(InstanceId instance) implements SlotKey {

    @Override
    public String subject() {
      return "instance/" + instance.value();
    }
  }

  /**
   * Returns the text that members are ranked by for this key.
   *
   * @return the text, different for different keys
   */
  String subject();
}
