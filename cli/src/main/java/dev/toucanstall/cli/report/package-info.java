/** The burn report: merged counts, text and a page with plots. */
@NullMarked
package dev.toucanstall.cli.report;

import org.jspecify.annotations.NullMarked;
