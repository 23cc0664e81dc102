/**
 * The node's client side over HTTP/1.1: accepts connections, reads requests and raises them as events, writes
 * responses. Everything here runs on the node's event loop.
 *
 * <p>{@link brackenbridge.net.client.Listener} is the entry point. Each {@code ClientConnection} has a {@code
 * RequestReader}, a {@code ResponseWriter} and a {@code ClientPresence}; what they share is in {@code ClientContext}.
 */
package brackenbridge.net.client;
