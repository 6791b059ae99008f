/**
 * Known upstreams and processes, and the links between processes.
 *
 * @since 0.1
 */
package io.trailladder.core.membership;
