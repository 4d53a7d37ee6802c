/**
 * The data model of jobs, tasks, queues, machines and backend servers.
 *
 * <p>The types are immutable values and make no scheduling decisions. Many record components have
 * the names under which messages and stored records contain them.
 */
@NullMarked
package dev.toucanstall.core.job;

import org.jspecify.annotations.NullMarked;
