/**
 * The client side of the node, over HTTP/1.1: accepts connections, reads requests and raises them as events, and writes
 * responses. All code of this package runs on the node's event loop.
 *
 * <p>{@link brackenbridge.net.client.Listener} is the entry point. Each {@code ClientConnection} has a {@code
 * RequestReader}, a {@code ResponseWriter} and a {@code ClientPresence}; their shared components are in {@code
 * ClientContext}.
 */
package brackenbridge.net.client;
