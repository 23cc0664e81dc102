/**
 * Decoders and encoders of HTTP/1.1, and the fields that the platform adds to it (deadlines, load reports).
 *
 * <p>Depends on {@code core}'s settings and on Netty's buffers, not on its channels. A decoder buffers the
 * incomplete message of one connection, bounded in size, and belongs to that connection's event loop.
 */
package brackenbridge.http;
