/**
 * State that every replica derives from the log alone (event sourcing), and the rules that accept
 * or refuse a record.
 */
@NullMarked
package dev.toucanstall.core.fold;

import org.jspecify.annotations.NullMarked;
