/**
 * The entry daemon, which serves requests between callers and upstreams on one instance.
 *
 * @since 0.1
 */
package io.trailladder.entry;
