/**
 * What jobs, tasks, queues and backend servers are: immutable values, without decisions about them.
 */
@NullMarked
package dev.toucanstall.core.job;

import org.jspecify.annotations.NullMarked;
