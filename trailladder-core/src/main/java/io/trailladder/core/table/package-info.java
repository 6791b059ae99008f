/**
 * The operators' table: its rows and their checks, its changes, and the replica that each entry
 * keeps.
 *
 * @since 0.1
 */
package io.trailladder.core.table;
