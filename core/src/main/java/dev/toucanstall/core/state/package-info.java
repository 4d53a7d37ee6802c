/**
 * Control state of one entry instance: the state folded from the log, and local state such as
 * requests in progress, peers and usage of slots.
 */
@NullMarked
package dev.toucanstall.core.state;

import org.jspecify.annotations.NullMarked;
