/** Events that an entry instance decides on, as typed values without an encoding. */
@NullMarked
package dev.toucanstall.core.event;

import org.jspecify.annotations.NullMarked;
