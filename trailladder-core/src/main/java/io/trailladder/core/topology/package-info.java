/**
 * Where processes and upstreams stand to each other: data centres, and regions of these.
 *
 * @since 0.4
 */
package io.trailladder.core.topology;
