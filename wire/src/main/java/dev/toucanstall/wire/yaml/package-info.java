/** Settings files in YAML, checked whole with the line of every error. */
@NullMarked
package dev.toucanstall.wire.yaml;

import org.jspecify.annotations.NullMarked;
