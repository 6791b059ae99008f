/** The time of day on which processes agree, independent of the clocks of single instances. */
package io.trailladder.core.time;
