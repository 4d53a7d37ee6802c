/** TCP links between entry instances. */
@NullMarked
package dev.toucanstall.entry.link;

import org.jspecify.annotations.NullMarked;
