/**
 * The choice of data centre and upstream for one request.
 *
 * @since 0.1
 */
package io.trailladder.core.routing;
