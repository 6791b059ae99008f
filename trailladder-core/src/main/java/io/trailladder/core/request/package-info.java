/**
 * The life of one accepted request: attempts, answers, outcomes.
 *
 * @since 0.1
 */
package io.trailladder.core.request;
