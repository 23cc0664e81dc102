/** The protocol, over a Unix socket, by which a new process of the node replaces a running one. */
package brackenbridge.handover;
