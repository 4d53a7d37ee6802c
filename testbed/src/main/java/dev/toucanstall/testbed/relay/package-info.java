/** A TCP relay that cuts and delays links between entry instances. */
@NullMarked
package dev.toucanstall.testbed.relay;

import org.jspecify.annotations.NullMarked;
