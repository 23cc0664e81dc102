/** Handling of connects and accepts whose system calls fail, shared by all sockets of the program. */
package brackenbridge.transport;
