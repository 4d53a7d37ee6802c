/** Requests of callers and attempts on backend servers; never reads control state. */
@NullMarked
package dev.toucanstall.entry.traffic;

import org.jspecify.annotations.NullMarked;
