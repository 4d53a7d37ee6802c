/** An open-loop load tool with phases, seeds and result files. */
@NullMarked
package dev.toucanstall.testbed.load;

import org.jspecify.annotations.NullMarked;
