/** Messages of the report on error budget burn. */
@NullMarked
package dev.toucanstall.wire.report;

import org.jspecify.annotations.NullMarked;
