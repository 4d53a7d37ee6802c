/** The reducer of the command line: events, effects and the flow of a command. */
@NullMarked
package dev.toucanstall.cli.flow;

import org.jspecify.annotations.NullMarked;
