/**
 * The decision logic of trailladder, which uses no sockets, files, threads or clocks. Callers pass
 * in the time.
 *
 * @since 0.1
 */
package io.trailladder.core;
