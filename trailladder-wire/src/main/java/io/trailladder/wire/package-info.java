/**
 * Messages between entries: MessagePack records in length-prefixed frames over TCP.
 *
 * @since 0.1
 */
package io.trailladder.wire;
