/**
 * The gateway process: accepts requests of callers, sends them to upstreams, and coordinates with
 * the other gateway processes.
 *
 * @since 0.2
 */
package io.trailladder.entry.gateway;
