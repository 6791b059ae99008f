/**
 * The processing of one request, whatever interface received it.
 *
 * @since 0.2
 */
package io.trailladder.core.pipeline;
