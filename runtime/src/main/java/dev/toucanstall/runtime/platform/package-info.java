/** Clients of the platform: its log, its instance list and its task interface. */
@NullMarked
package dev.toucanstall.runtime.platform;

import org.jspecify.annotations.NullMarked;
