/**
 * Links between gateway processes, and the messages sent over them.
 *
 * @since 0.2
 */
package io.trailladder.entry.mesh;
