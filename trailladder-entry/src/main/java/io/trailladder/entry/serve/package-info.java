/**
 * Serving accepted requests: upstream adapters, runners and records.
 *
 * @since 0.1
 */
package io.trailladder.entry.serve;
