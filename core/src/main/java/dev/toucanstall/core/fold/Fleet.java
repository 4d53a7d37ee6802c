package dev.toucanstall.core.fold;

import dev.toucanstall.core.model.DomainId;
import dev.toucanstall.core.model.InstanceId;
import dev.toucanstall.core.model.PoolId;
import dev.toucanstall.core.settings.Pool;
import java.util.Collection;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.pcollections.TreePMap;
import org.pcollections.TreePSet;

/**
 * The instances of the fleet as the log has them. Immutable.
 *
 * @param instances the instances by name
 * @param idsByPool the names of each pool's instances
 */
public record Fleet(
    TreePMap<InstanceId, FleetInstance> instances,
    TreePMap<PoolId, TreePSet<InstanceId>> idsByPool) {

  /** A fleet without instances. */
  public static final Fleet EMPTY = new Fleet(TreePMap.empty(), TreePMap.empty());

  /**
   * Returns an instance.
   *
   * @param id its name
   * @return the instance, null if the log does not have it
   */
  public @Nullable FleetInstance get(InstanceId id) {
    return instances.get(id);
  }

  /**
   * Returns the names of a pool's instances.
   *
   * @param pool the pool
   * @return the names in order, empty if it has none
   */
  public TreePSet<InstanceId> idsInPool(PoolId pool) {
    return Objects.requireNonNullElse(idsByPool.get(pool), TreePSet.<InstanceId>empty());
  }

  /**
   * Returns a pool's instances.
   *
   * @param pool the pool
   * @return the instances in the order of their names
   */
  public Collection<FleetInstance> instancesInPool(PoolId pool) {
    return idsInPool(pool).stream().map(instances::get).filter(Objects::nonNull).toList();
  }

  /**
   * Returns the fleet with an instance added or replaced.
   *
   * @param instance the instance
   * @return the new fleet
   */
  public Fleet with(FleetInstance instance) {
    FleetInstance before = instances.get(instance.id());
    var pools = idsByPool;
    if (before != null && !before.pool().equals(instance.pool())) {
      pools = pools.plus(before.pool(), idsInPool(before.pool()).minus(instance.id()));
    }
    TreePSet<InstanceId> inPool =
        Objects.requireNonNullElse(pools.get(instance.pool()), TreePSet.<InstanceId>empty());
    return new Fleet(
        instances.plus(instance.id(), instance),
        pools.plus(instance.pool(), inPool.plus(instance.id())));
  }

  /**
   * Says why draining an instance would break its pool's availability budget. What is down, leaving
   * or draining already counts.
   *
   * @param id the instance
   * @param pool the budget
   * @return one sentence, or empty if the budget holds
   */
  public Optional<String> budgetViolation(InstanceId id, Pool pool) {
    Collection<FleetInstance> unavailable =
        instancesInPool(pool.id()).stream()
            .filter(i -> !i.isAvailable() && !i.id().equals(id))
            .toList();
    int count = unavailable.size() + 1;
    if (count > pool.maxUnavailable()) {
      return Optional.of(
          "pool \"%s\" would have %d instances unavailable, its budget is %d"
              .formatted(pool.id(), count, pool.maxUnavailable()));
    }
    Set<DomainId> domains =
        unavailable.stream().map(i -> i.observed().domain()).collect(Collectors.toSet());
    FleetInstance own = instances.get(id);
    if (own != null) {
      domains.add(own.observed().domain());
    }
    if (domains.size() > pool.maxUnavailableDomains()) {
      return Optional.of(
          "pool \"%s\" would have %d failure domains touched, its budget is %d"
              .formatted(pool.id(), domains.size(), pool.maxUnavailableDomains()));
    }
    return Optional.empty();
  }

  /**
   * Tells whether more of a pool is unavailable than its budget allows.
   *
   * @param pool the budget
   * @return true if so
   */
  public boolean isOverBudget(Pool pool) {
    Collection<FleetInstance> unavailable =
        instancesInPool(pool.id()).stream().filter(i -> !i.isAvailable()).toList();
    long domains = unavailable.stream().map(i -> i.observed().domain()).distinct().count();
    return unavailable.size() > pool.maxUnavailable() || domains > pool.maxUnavailableDomains();
  }
}
