/** The testbed: stand-ins, the load tool and benchmarks, as commands. Not shipped. */
@NullMarked
package dev.toucanstall.testbed;

import org.jspecify.annotations.NullMarked;
