/** What a majority decides: settings, weights, plans and who may act, by a Raft library, leases and a disk. */
package brackenbridge.fleet.agreed;
