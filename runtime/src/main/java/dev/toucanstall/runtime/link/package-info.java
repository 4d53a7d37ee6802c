/** TCP links that carry length-prefixed frames. */
@NullMarked
package dev.toucanstall.runtime.link;

import org.jspecify.annotations.NullMarked;
