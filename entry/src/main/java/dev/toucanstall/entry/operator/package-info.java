/** The HTTP interface for operators, the load balancer and the metrics collector. */
@NullMarked
package dev.toucanstall.entry.operator;

import org.jspecify.annotations.NullMarked;
