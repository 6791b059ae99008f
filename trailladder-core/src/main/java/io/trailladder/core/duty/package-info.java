/**
 * Work that a single entry does for all: the election of that entry, usage counts, and orders of
 * upstreams.
 *
 * @since 0.2
 */
package io.trailladder.core.duty;
