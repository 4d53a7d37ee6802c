/** Benchmarks, and the comparison of their result files. */
@NullMarked
package dev.toucanstall.testbed.bench;

import org.jspecify.annotations.NullMarked;
