/** How a process ends when it can't go on. */
@NullMarked
package dev.toucanstall.runtime.process;

import org.jspecify.annotations.NullMarked;
