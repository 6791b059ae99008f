/**
 * Interfaces to the platform (key-value service, instance list, cloud notices) and their HTTP
 * adapters.
 *
 * @since 0.1
 */
package io.trailladder.platform;
