/**
 * The HTTP side towards callers.
 *
 * @since 0.1
 */
package io.trailladder.entry.caller;
