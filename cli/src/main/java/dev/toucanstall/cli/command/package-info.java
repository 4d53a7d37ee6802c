/** Commands of the operators' command line. */
@NullMarked
package dev.toucanstall.cli.command;

import org.jspecify.annotations.NullMarked;
