/** The entry instance as a process. */
@NullMarked
package dev.toucanstall.entry.main;

import org.jspecify.annotations.NullMarked;
