package dev.toucanstall.core.settings;

import dev.toucanstall.core.model.KeyId;
import dev.toucanstall.core.model.TeamId;

/**
 * A key that an operator gave to a team.
 *
 * @param team the team
 * @param key the key's name
 */
public record KeyGrant(TeamId team, KeyId key) {}
