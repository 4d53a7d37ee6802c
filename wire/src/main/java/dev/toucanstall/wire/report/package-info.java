/** The messages of the burn report. */
@NullMarked
package dev.toucanstall.wire.report;

import org.jspecify.annotations.NullMarked;
