/** Records that every member holds: own and counted ones, versions, merging, log, snapshot, catch-up, differences. */
package brackenbridge.fleet.replica;
