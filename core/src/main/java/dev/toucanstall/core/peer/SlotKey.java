package dev.toucanstall.core.peer;

import dev.toucanstall.core.model.InstanceId;
import dev.toucanstall.core.model.TeamId;

/** Key of a kind of slots: a team or an instance whose running requests are limited. */
public sealed interface SlotKey {

  /**
   * Slots of a team, which limit the team's running requests across the fleet.
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
   * Slots of an instance, which limit the running requests on its backend server.
   *
   * @param instance the instance
   */
  record OfInstance(InstanceId instance) implements SlotKey {

    @Override
    public String subject() {
      return "instance/" + instance.value();
    }
  }

  /**
   * Returns the text by which members are ranked for this key.
   *
   * @return the text, such as "team/t", distinct for each key
   */
  String subject();
}
