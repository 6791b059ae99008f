/**
 * Small stand-ins for the platform and the upstreams, for tests and the quickstart only.
 *
 * @since 0.1
 */
package io.trailladder.testkit;
