/**
 * State of the platform's store itself.
 *
 * @since 0.5
 */
package io.trailladder.core.store;
