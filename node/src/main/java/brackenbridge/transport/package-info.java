/** What every socket of the program shares: connects and accepts whose system calls fail. */
package brackenbridge.transport;
