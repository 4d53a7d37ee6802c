package dev.toucanstall.core.settings;

import dev.toucanstall.core.model.PoolId;

/**
 * A pool of instances with its availability budget.
 *
 * @param id the pool
 * @param maxUnavailable the most instances that are not serving at once
 * @param maxUnavailableDomains the most failure domains in which instances are not serving at once
 * @param spare whether it lends its instances to other pools
 * @param autoscale whether instances move to and from it by need
 */
public record Pool(
    PoolId id, int maxUnavailable, int maxUnavailableDomains, boolean spare, boolean autoscale) {

  /** The availability budget of a pool without a setting. */
  public static final int DEFAULT_MAX_UNAVAILABLE = 1;

  /** The domain budget of a pool without a setting. */
  public static final int DEFAULT_MAX_DOMAINS = 1;
}
