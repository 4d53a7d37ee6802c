/**
 * The state that every replica derives from the log alone, and the rules that accept or refuse a
 * record.
 */
@NullMarked
package dev.toucanstall.core.fold;

import org.jspecify.annotations.NullMarked;
