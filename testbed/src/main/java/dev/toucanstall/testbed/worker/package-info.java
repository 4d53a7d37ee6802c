/** Stand-ins for backend servers, with a ledger of everything that they ran. */
@NullMarked
package dev.toucanstall.testbed.worker;

import org.jspecify.annotations.NullMarked;
