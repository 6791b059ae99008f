/**
 * Detection of requests that end the upstreams that run them.
 *
 * @since 0.6
 */
package io.trailladder.core.crash;
