/** The operators' tree of settings under paths, its schema and its typed view. */
@NullMarked
package dev.toucanstall.core.settings;

import org.jspecify.annotations.NullMarked;
