/**
 * Claims on request keys, which make a request run at most once.
 *
 * @since 0.1
 */
package io.trailladder.core.claim;
