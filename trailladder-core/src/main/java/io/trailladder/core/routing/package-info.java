/**
 * The choice of an upstream for one request.
 *
 * @since 0.1
 */
package io.trailladder.core.routing;
