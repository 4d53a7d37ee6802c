/** Error-budget burn report: merged counts, and their rendering as text and as HTML. */
@NullMarked
package dev.toucanstall.cli.report;

import org.jspecify.annotations.NullMarked;
