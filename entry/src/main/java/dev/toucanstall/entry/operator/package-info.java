/** The HTTP interface of operators, the balancer and the metrics collector. */
@NullMarked
package dev.toucanstall.entry.operator;

import org.jspecify.annotations.NullMarked;
