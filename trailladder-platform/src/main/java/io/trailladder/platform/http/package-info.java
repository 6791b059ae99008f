/**
 * A small asynchronous HTTP client on Grizzly that tells whether any byte of a request may have
 * left.
 *
 * @since 0.1
 */
package io.trailladder.platform.http;
