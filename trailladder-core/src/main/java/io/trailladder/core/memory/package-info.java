/**
 * What a process keeps for others, in bytes: one account by kind, the levels it stands at, and
 * which answers are ended when it runs out. It knows no sockets and no time.
 */
package io.trailladder.core.memory;
