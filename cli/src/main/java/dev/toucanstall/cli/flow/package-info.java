/** Reducer of the command line: events, effects, and the state of a running command. */
@NullMarked
package dev.toucanstall.cli.flow;

import org.jspecify.annotations.NullMarked;
