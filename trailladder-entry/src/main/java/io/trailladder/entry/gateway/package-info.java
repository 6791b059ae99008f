/**
 * The gateway process: takes callers' requests, chooses upstreams, and takes part in what all
 * gateways do together.
 *
 * @since 0.2
 */
package io.trailladder.entry.gateway;
