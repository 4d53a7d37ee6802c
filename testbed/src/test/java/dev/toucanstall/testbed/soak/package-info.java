/**
 * Fault soak with real entry processes: stand-ins for the platform's store, the list of machines
 * and backend servers in one process, proxies on each path between them, a seeded plan of faults
 * and checks of what ran.
 */
@NullMarked
package dev.toucanstall.testbed.soak;

import org.jspecify.annotations.NullMarked;
