/**
 * The interfaces through which the gateway uses its platform, in the product's own terms. An
 * adapter translates names, formats and calls, and makes no decisions.
 *
 * @since 0.2
 */
package io.trailladder.entry.port;
