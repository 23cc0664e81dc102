/**
 * Replication of records that every member of a fleet holds, without a leader.
 *
 * <p><b>What is replicated.</b> The spaces of {@link brackenbridge.fleet.replica.RecordSpace}: what a node sees of
 * servers, pools and tenants' demand, how far nodes are, and counters of use. What needs a majority is
 * {@code fleet.agreed}'s.
 *
 * <p><b>Consistency.</b> Eventual. Each owner (a member) alone writes its records, with a
 * {@link brackenbridge.fleet.replica.RecordVersion} of its incarnation and a sequence number; there is no order between
 * owners. Own records are last-writer-wins within one writer and end with its incarnation; counters are grow-only,
 * summed over all owners and incarnations, and never too great at any member. Every read carries the age of what is
 * read, in milliseconds. A member whose copies still differ from an owner's after repair says so and is left out of
 * decisions; an incarnation in which two processes wrote is quarantined at every member.
 *
 * <p><b>How.</b> Owners push writes at once ({@link brackenbridge.fleet.replica.ReplicationProtocol}); members compare
 * positions of logs and request what is missing ({@link brackenbridge.fleet.replica.CatchUp}), as a log's tail or,
 * where tombstones were forgotten, as a snapshot; digests find copies that differ at rest ({@link
 * brackenbridge.fleet.replica.AntiEntropy}).
 *
 * <p><b>State and threads.</b> {@link brackenbridge.fleet.replica.RecordStore},
 * {@link brackenbridge.fleet.replica.ReplicationProtocol}, {@code CatchUp} and {@code AntiEntropy} have no
 * threads, locks or I/O. In a process {@link brackenbridge.fleet.replica.ReplicaNode} owns them and guards them by
 * one lock ({@code ReplicaMonitor}), held for one message, one turn or one call:
 *
 * <ul>
 *   <li>{@code replica-turn} drives the protocol's timers;
 *   <li>threads of the peer links deliver messages, and any thread of the process reads and writes;
 *   <li>{@code replica-tell} calls listeners, without the lock ({@code ChangeNotifier});
 *   <li>{@code replica-disk} alone writes {@link brackenbridge.fleet.replica.ReplicaDisk}, without the lock, behind
 *       memory ({@code DiskWriter}); before that thread starts and after it ends, the thread that opens or closes the
 *       node does.
 * </ul>
 */
package brackenbridge.fleet.replica;
