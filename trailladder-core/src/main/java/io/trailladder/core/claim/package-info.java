/**
 * At-most-once ownership of request keys.
 *
 * @since 0.1
 */
package io.trailladder.core.claim;
