/**
 * Accounting of the bytes that a process keeps for callers, upstreams and peers: reservations by
 * kind, the levels of memory use, and the choice of the answers to end when memory runs out. Uses
 * no sockets and no clock.
 */
package io.trailladder.core.memory;
