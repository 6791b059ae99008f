/**
 * Links between gateway processes, and what they tell one another.
 *
 * @since 0.2
 */
package io.trailladder.entry.mesh;
