/** Measuring at little cost: one thread writes, any thread reads. */
@NullMarked
package dev.toucanstall.runtime.meter;

import org.jspecify.annotations.NullMarked;
