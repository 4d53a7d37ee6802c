/** An entry instance on the users' platform: the control loop, its interpreter and its links. */
@NullMarked
package dev.toucanstall.entry.node;

import org.jspecify.annotations.NullMarked;
