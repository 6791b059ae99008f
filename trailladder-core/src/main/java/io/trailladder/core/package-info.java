/**
 * Pure decisions of trailladder: no sockets, files, threads or clocks. Callers pass the time in.
 *
 * @since 0.1
 */
package io.trailladder.core;
