/** The reducer over all events, composed of one function for each family of events. */
@NullMarked
package dev.toucanstall.core.reduce;

import org.jspecify.annotations.NullMarked;
