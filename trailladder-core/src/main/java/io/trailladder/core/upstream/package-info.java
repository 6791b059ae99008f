/**
 * Which upstreams serve, how loaded and how healthy they are, and the choice among them.
 *
 * @since 0.2
 */
package io.trailladder.core.upstream;
