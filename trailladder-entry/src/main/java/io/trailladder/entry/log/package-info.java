/**
 * Log output as JSON lines.
 *
 * @since 0.1
 */
package io.trailladder.entry.log;
