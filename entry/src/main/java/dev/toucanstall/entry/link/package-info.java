/** Links to peers over TCP. */
@NullMarked
package dev.toucanstall.entry.link;

import org.jspecify.annotations.NullMarked;
