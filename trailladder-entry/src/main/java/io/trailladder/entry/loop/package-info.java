/**
 * The single thread that runs all input, output, timers and decisions of a gateway process.
 *
 * @since 0.2
 */
package io.trailladder.entry.loop;
