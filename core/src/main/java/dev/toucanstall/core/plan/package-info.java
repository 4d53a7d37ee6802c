/**
 * Decides where and when the tasks of jobs run, and which machines serve which pool.
 *
 * <p>The planner is one reducer over the events of jobs, tasks, backend servers, machines and the
 * store: {@link dev.toucanstall.core.plan.PlanReducer} changes the state in {@link
 * dev.toucanstall.core.plan.Plan} in place and returns the effects to carry out. The control thread
 * owns the state. Whatever must survive the planner is stored before an effect that relies on it is
 * emitted.
 *
 * <p>The planner is elected for a term, whose epoch is the fencing token of all its orders. It
 * binds each task to a backend server and orders a run of it, renews the leases of the runs and
 * learns of finished runs from the lists that a renewal returns.
 */
@NullMarked
package dev.toucanstall.core.plan;

import org.jspecify.annotations.NullMarked;
