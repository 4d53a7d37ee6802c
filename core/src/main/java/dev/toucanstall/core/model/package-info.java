/**
 * Identifiers and values that all other packages use. Immutable, without behaviour beyond
 * validation.
 */
@NullMarked
package dev.toucanstall.core.model;

import org.jspecify.annotations.NullMarked;
