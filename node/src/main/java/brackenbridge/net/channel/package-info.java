/**
 * Components shared by client connections and connections to servers: the descriptor budget, bodies that are streamed
 * from one connection to another, receive buffers, literal addresses and the system calls that create sockets.
 */
package brackenbridge.net.channel;
