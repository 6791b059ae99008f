/**
 * The operators' serving policy: routes, services, organisations and request limits.
 *
 * @since 0.2
 */
package io.trailladder.core.policy;
