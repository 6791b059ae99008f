/**
 * What the gateway needs of the platform it runs on, in the product's own terms. An adapter
 * translates names, formats and calls, and decides nothing.
 *
 * @since 0.2
 */
package io.trailladder.entry.port;
