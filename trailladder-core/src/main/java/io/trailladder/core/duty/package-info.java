/**
 * Work that one entry at a time does for all: who does it, usage counts and orders of upstreams.
 *
 * @since 0.2
 */
package io.trailladder.core.duty;
