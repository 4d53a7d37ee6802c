/** Tests of the scripts that build the product for the platform. */
@NullMarked
package dev.toucanstall.testbed.deploy;

import org.jspecify.annotations.NullMarked;
