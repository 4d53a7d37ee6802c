/** Stand-ins for backend servers, with a ledger that counts the requests that they ran. */
@NullMarked
package dev.toucanstall.testbed.worker;

import org.jspecify.annotations.NullMarked;
