/** Tree of settings that operators write, its schema and its typed view. */
@NullMarked
package dev.toucanstall.core.settings;

import org.jspecify.annotations.NullMarked;
