/**
 * The HTTP interface for operators: health, metrics, status and decisions.
 *
 * @since 0.1
 */
package io.trailladder.entry.operator;
