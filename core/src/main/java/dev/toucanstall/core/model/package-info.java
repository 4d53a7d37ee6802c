/**
 * Identifiers and values that every other package uses; immutable, with no behaviour beyond checks.
 */
@NullMarked
package dev.toucanstall.core.model;

import org.jspecify.annotations.NullMarked;
