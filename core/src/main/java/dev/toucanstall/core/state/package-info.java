/**
 * The control state of one entry instance: what the log says, and what only this instance knows.
 */
@NullMarked
package dev.toucanstall.core.state;

import org.jspecify.annotations.NullMarked;
