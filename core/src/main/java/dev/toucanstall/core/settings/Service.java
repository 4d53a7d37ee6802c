package dev.toucanstall.core.settings;

import dev.toucanstall.core.model.PoolId;
import dev.toucanstall.core.model.ServiceId;

/**
 * A service that callers ask for.
 *
 * @param id the service
 * @param pool the pool that runs it
 * @param allowsAnonymous whether it takes work without a key
 * @param queueLimit the most requests that wait per team on one entry instance
 */
public record Service(ServiceId id, PoolId pool, boolean allowsAnonymous, int queueLimit) {

  /** The queue limit of a service without a setting. */
  public static final int DEFAULT_QUEUE_LIMIT = 1_000;
}
