package dev.toucanstall.core.settings;

import dev.toucanstall.core.model.PoolId;
import dev.toucanstall.core.model.ServiceId;

/**
 * A service that callers request. Immutable.
 *
 * @param id name of the service
 * @param pool pool whose instances run the service
 * @param allowsAnonymous whether requests without a key are accepted
 * @param queueLimit maximum number of waiting requests of one team on one entry instance
 */
public record Service(ServiceId id, PoolId pool, boolean allowsAnonymous, int queueLimit) {

  /** Queue limit of a service for which the settings give none. */
  public static final int DEFAULT_QUEUE_LIMIT = 1_000;
}
