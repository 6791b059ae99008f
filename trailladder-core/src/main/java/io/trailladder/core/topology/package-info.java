/**
 * Data centres and regions, and the distances between them.
 *
 * @since 0.4
 */
package io.trailladder.core.topology;
