/**
 * Which upstreams exist and which of them are leaving.
 *
 * @since 0.1
 */
package io.trailladder.core.membership;
