/** Handles failed system calls of connects and accepts, for all sockets of the program. */
package brackenbridge.transport;
