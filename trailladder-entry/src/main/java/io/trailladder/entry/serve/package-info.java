/**
 * Serves accepted requests: admission, placement at upstreams, adapters to upstreams, runners, and
 * the copies of requests at other entries.
 *
 * @since 0.1
 */
package io.trailladder.entry.serve;
