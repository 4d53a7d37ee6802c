/**
 * The control logic of one entry instance: admission of calls, delivery to the planner, election of
 * the planner, and graceful stop.
 *
 * <p>The planner is the elected entry instance that schedules all jobs; the others follow it and
 * forward their clients' calls to it. A term is the time of one planner, numbered by its epoch.
 *
 * <p>{@link dev.toucanstall.core.node.NodeReducer} handles all events. The state is owned by the
 * control thread and changed in place.
 */
@NullMarked
package dev.toucanstall.core.node;

import org.jspecify.annotations.NullMarked;
