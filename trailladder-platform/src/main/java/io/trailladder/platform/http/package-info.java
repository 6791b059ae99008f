/**
 * An asynchronous HTTP client on Grizzly that reports whether any byte of a failed request may have
 * been sent.
 *
 * @since 0.1
 */
package io.trailladder.platform.http;
