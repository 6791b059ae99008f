/**
 * The command line: the entry and gateway processes and the operators' commands.
 *
 * @since 0.1
 */
package io.trailladder.cli;
