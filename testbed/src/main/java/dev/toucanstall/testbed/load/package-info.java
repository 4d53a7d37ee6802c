/** Open-loop load generator with bursts, seeds and result files. */
@NullMarked
package dev.toucanstall.testbed.load;

import org.jspecify.annotations.NullMarked;
