/**
 * Background synchronisation of the table, the instance list, notices, entries and claims.
 *
 * @since 0.1
 */
package io.trailladder.entry.sync;
