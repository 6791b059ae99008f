/**
 * The HTTP interface for callers.
 *
 * @since 0.1
 */
package io.trailladder.entry.caller;
