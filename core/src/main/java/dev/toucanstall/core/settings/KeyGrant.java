package dev.toucanstall.core.settings;

import dev.toucanstall.core.model.KeyId;
import dev.toucanstall.core.model.TeamId;

/**
 * A key in force, which an operator has granted to a team. Immutable.
 *
 * @param team team whose callers use the key
 * @param key name of the key
 */
public record KeyGrant(TeamId team, KeyId key) {}
