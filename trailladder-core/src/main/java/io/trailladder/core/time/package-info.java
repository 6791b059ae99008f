/** The time of day that processes agree on, whatever the clocks of single machines say. */
package io.trailladder.core.time;
