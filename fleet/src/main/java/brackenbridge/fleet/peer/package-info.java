/** Links between the members of a fleet: handshake, frames, back-pressure, who is alive. One task for each peer. */
package brackenbridge.fleet.peer;
