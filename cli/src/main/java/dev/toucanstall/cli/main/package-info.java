/** The binary toucanstall. */
@NullMarked
package dev.toucanstall.cli.main;

import org.jspecify.annotations.NullMarked;
