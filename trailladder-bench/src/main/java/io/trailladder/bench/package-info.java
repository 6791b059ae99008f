/**
 * Measurements: microbenchmarks of the core, a load tool, and trace replay. Not shipped.
 *
 * @since 0.1
 */
package io.trailladder.bench;
