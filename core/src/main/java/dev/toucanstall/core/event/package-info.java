/** Everything that can happen to an entry instance. */
@NullMarked
package dev.toucanstall.core.event;

import org.jspecify.annotations.NullMarked;
