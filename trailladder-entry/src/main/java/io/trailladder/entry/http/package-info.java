/**
 * HTTP on the event loop, by Grizzly's codec: a server that sees callers leave, and a client that
 * tells whether any byte of a request may have left.
 *
 * @since 0.2
 */
package io.trailladder.entry.http;
