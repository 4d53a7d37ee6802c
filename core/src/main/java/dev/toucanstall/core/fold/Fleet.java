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
 * Instances of the fleet by the records of the log. Immutable.
 *
 * @param instances instances by name
 * @param idsByPool names of the instances by pool
 */
public record Fleet(
    TreePMap<InstanceId, FleetInstance> instances,
    TreePMap<PoolId, TreePSet<InstanceId>> idsByPool) {

  /** Fleet without instances. */
  public static final Fleet EMPTY = new Fleet(TreePMap.empty(), TreePMap.empty());

  /**
   * Returns the instance of a name.
   *
   * @param id the name
   * @return the instance, null if no record has reported it
   */
  public @Nullable FleetInstance get(InstanceId id) {
    return instances.get(id);
  }

  /**
   * Returns the names of the instances of a pool.
   *
   * @param pool the pool
   * @return the names in order, empty if the pool has no instances
   */
  public TreePSet<InstanceId> idsInPool(PoolId pool) {
    return Objects.requireNonNullElse(idsByPool.get(pool), TreePSet.<InstanceId>empty());
  }

  /**
   * Returns the instances of a pool.
   *
   * @param pool the pool
   * @return the instances in the order of their names, empty if the pool has none
   */
  public Collection<FleetInstance> instancesInPool(PoolId pool) {
    return idsInPool(pool).stream().map(instances::get).filter(Objects::nonNull).toList();
  }

  /**
   * Returns a copy with an instance added or replaced.
   *
   * @param instance the instance
   * @return the new fleet
   */
  public Fleet with(FleetInstance instance) {
    FleetInstance previous = instances.get(instance.id());
    var pools = idsByPool;
    if (previous != null && !previous.pool().equals(instance.pool())) {
      pools = pools.plus(previous.pool(), idsInPool(previous.pool()).minus(instance.id()));
    }
    TreePSet<InstanceId> inPool =
        Objects.requireNonNullElse(pools.get(instance.pool()), TreePSet.<InstanceId>empty());
    return new Fleet(
        instances.plus(instance.id(), instance),
        pools.plus(instance.pool(), inPool.plus(instance.id())));
  }

  /**
   * Returns the reason for which draining an instance would exceed the availability budget of its
   * pool. Instances that are down, leaving, draining or empty count as unavailable.
   *
   * @param id the instance
   * @param pool the pool with its budget
   * @return one sentence, empty if the budget would not be exceeded
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
    FleetInstance instance = instances.get(id);
    if (instance != null) {
      domains.add(instance.observed().domain());
    }
    if (domains.size() > pool.maxUnavailableDomains()) {
      return Optional.of(
          "pool \"%s\" would have %d failure domains touched, its budget is %d"
              .formatted(pool.id(), domains.size(), pool.maxUnavailableDomains()));
    }
    return Optional.empty();
  }

  /**
   * Tells whether more instances or failure domains of a pool are unavailable than its budget
   * allows.
   *
   * @param pool the pool with its budget
   * @return true if the budget is exceeded
   */
  public boolean isOverBudget(Pool pool) {
    Collection<FleetInstance> unavailable =
        instancesInPool(pool.id()).stream().filter(i -> !i.isAvailable()).toList();
    long domainCount = unavailable.stream().map(i -> i.observed().domain()).distinct().count();
    return unavailable.size() > pool.maxUnavailable() || domainCount > pool.maxUnavailableDomains();
  }
}
