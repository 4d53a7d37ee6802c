package dev.toucanstall.core.settings;

import dev.toucanstall.core.model.PoolId;

/**
 * A pool of instances with its availability budget. Immutable.
 *
 * @param id name of the pool
 * @param maxUnavailable maximum number of instances that are unavailable at once
 * @param maxUnavailableDomains maximum number of failure domains with unavailable instances at once
 * @param spare whether the pool gives its instances to other pools that need them
 * @param autoscale whether instances move to and from the pool by its load
 */
public record Pool(
    PoolId id, int maxUnavailable, int maxUnavailableDomains, boolean spare, boolean autoscale) {

  /** Default maximum number of unavailable instances of a pool. */
  public static final int DEFAULT_MAX_UNAVAILABLE = 1;

  /** Default maximum number of failure domains with unavailable instances of a pool. */
  public static final int DEFAULT_MAX_DOMAINS = 1;
}
