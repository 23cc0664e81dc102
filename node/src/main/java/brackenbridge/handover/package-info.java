/** How a process of the node takes another's place: what the two say to each other over a Unix socket. */
package brackenbridge.handover;
