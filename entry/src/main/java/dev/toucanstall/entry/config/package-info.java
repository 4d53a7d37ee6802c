/** The settings file of an entry instance: its parsed form and the reader that checks it. */
@NullMarked
package dev.toucanstall.entry.config;

import org.jspecify.annotations.NullMarked;
