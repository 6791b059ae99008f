/**
 * The command line: the entry daemon and the operators' commands.
 *
 * @since 0.1
 */
package io.trailladder.cli;
