/**
 * The processing of one accepted request: attempts, answers and outcomes.
 *
 * @since 0.1
 */
package io.trailladder.core.request;
