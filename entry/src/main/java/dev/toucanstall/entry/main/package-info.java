/** The process of an entry instance: its command line, its servers and its start and stop. */
@NullMarked
package dev.toucanstall.entry.main;

import org.jspecify.annotations.NullMarked;
