/**
 * HTTP on the event loop, based on Grizzly's codec: a server that notices when callers disconnect,
 * and a client that reports whether any byte of a request may have been sent.
 *
 * @since 0.2
 */
package io.trailladder.entry.http;
