/** HTTP clients of the platform's log, instance list and task interface. */
@NullMarked
package dev.toucanstall.runtime.platform;

import org.jspecify.annotations.NullMarked;
