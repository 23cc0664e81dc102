/**
 * What client connections and connections to servers share: the descriptor budget, bodies that are streamed from one
 * connection to another, receive buffers, literal addresses and the calls that make sockets.
 */
package brackenbridge.net.channel;
