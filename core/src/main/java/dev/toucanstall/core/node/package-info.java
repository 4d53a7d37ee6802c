/**
 * What one entry instance decides: which calls it admits, whom it asks, and when it plans.
 *
 * <p>One reducer over all events; the state is owned by the control thread and changed in place.
 */
@NullMarked
package dev.toucanstall.core.node;

import org.jspecify.annotations.NullMarked;
