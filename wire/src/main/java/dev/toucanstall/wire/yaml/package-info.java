/** Parser of YAML settings files that reports all errors with their lines. */
@NullMarked
package dev.toucanstall.wire.yaml;

import org.jspecify.annotations.NullMarked;
