/**
 * Messages between processes, and their encoding as MessagePack arrays in length-prefixed frames.
 *
 * @since 0.1
 */
package io.trailladder.wire;
