/**
 * One request's way through the system, whatever interface it came by.
 *
 * @since 0.2
 */
package io.trailladder.core.pipeline;
