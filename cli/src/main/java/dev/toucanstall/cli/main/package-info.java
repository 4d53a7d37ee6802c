/** Entry point of the command line and the runner of its effects. */
@NullMarked
package dev.toucanstall.cli.main;

import org.jspecify.annotations.NullMarked;
