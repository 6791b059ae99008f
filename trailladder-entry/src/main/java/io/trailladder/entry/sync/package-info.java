/**
 * Background work: table, instance list, notices, entries and claims.
 *
 * @since 0.1
 */
package io.trailladder.entry.sync;
