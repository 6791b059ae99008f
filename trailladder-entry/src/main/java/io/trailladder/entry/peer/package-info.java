/**
 * Authenticated links to the other entries.
 *
 * @since 0.1
 */
package io.trailladder.entry.peer;
