/** The commands of operators. */
@NullMarked
package dev.toucanstall.cli.command;

import org.jspecify.annotations.NullMarked;
