/**
 * Leases of backend servers: the clock on which they are given, and the time by which all that a
 * backend server may hold have expired.
 *
 * <p>The planner asks these types and tells them what has happened; they know nothing of the
 * planner. The control thread owns their state.
 */
@NullMarked
package dev.toucanstall.core.lease;

import org.jspecify.annotations.NullMarked;
