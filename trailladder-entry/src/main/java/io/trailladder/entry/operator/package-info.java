/**
 * The HTTP side towards operators: health, metrics, status, decisions.
 *
 * @since 0.1
 */
package io.trailladder.entry.operator;
