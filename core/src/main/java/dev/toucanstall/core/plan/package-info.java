/**
 * The planner: one reducer over the events of jobs, tasks, backend servers and the store.
 *
 * <p>Its state is owned by the control thread and changed in place; what is to be done comes out as
 * effects. Whatever must survive is stored before the effect that relies on it is given out.
 */
@NullMarked
package dev.toucanstall.core.plan;

import org.jspecify.annotations.NullMarked;
