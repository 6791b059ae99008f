/**
 * The operators' table: rows, checks, changes and the replica an entry keeps.
 *
 * @since 0.1
 */
package io.trailladder.core.table;
