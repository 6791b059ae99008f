/**
 * The operators' serving policy: routes, services, organisations and bounds of one version.
 *
 * @since 0.2
 */
package io.trailladder.core.policy;
