/**
 * The upstreams that serve requests, their load and health, and the choice among them.
 *
 * @since 0.2
 */
package io.trailladder.core.upstream;
