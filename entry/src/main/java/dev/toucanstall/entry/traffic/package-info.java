/**
 * Requests of callers (the clients of services) and the attempts to run them on backend servers.
 * Reads no control state: events go to the control thread, and its decisions come back as effects.
 */
@NullMarked
package dev.toucanstall.entry.traffic;

import org.jspecify.annotations.NullMarked;
