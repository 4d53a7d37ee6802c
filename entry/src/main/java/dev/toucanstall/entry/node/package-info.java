/** An entry instance on the users' platform: its process, effect runner, links and metrics. */
@NullMarked
package dev.toucanstall.entry.node;

import org.jspecify.annotations.NullMarked;
