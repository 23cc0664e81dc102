/**
 * Leaderless replication of records to every member of a fleet.
 *
 * <p><b>What is replicated.</b> The spaces of {@link brackenbridge.fleet.replica.RecordSpace}: a node's observations of
 * servers, pools and tenants' demand, the progress of nodes, and usage counters. State that needs a majority belongs to
 * {@code fleet.agreed}.
 *
 * <p><b>Consistency.</b> Eventual. Each record is written only by its owner (a member), with a
 * {@link brackenbridge.fleet.replica.RecordVersion} of the owner's incarnation and a sequence number; writes of
 * different owners are not ordered. Registers are last-writer-wins and are dropped when their owner's incarnation ends;
 * counters are grow-only and summed over all owners and incarnations, and no member ever reads more than was added.
 * Every read carries the age of the record in milliseconds. A member whose copies still differ from an owner's after
 * repair reports it and is excluded from decisions; an incarnation in which two processes wrote is quarantined at every
 * member.
 *
 * <p><b>Protocol.</b> Owners push writes immediately ({@link brackenbridge.fleet.replica.ReplicationProtocol}).
 * Members compare log positions and request missing writes ({@link brackenbridge.fleet.replica.CatchUp}), as the tail
 * of a log or, where tombstones were forgotten, as a snapshot. Digests detect copies that differ although their
 * positions are equal ({@link brackenbridge.fleet.replica.AntiEntropy}).
 *
 * <p><b>State and threads.</b> {@link brackenbridge.fleet.replica.RecordStore},
 * {@link brackenbridge.fleet.replica.ReplicationProtocol}, {@code CatchUp} and {@code AntiEntropy} have no
 * threads, locks or I/O. In a process {@link brackenbridge.fleet.replica.ReplicaNode} owns them and guards them by
 * one lock ({@code ReplicaMonitor}), held for one message, one timer step or one call:
 *
 * <ul>
 *   <li>{@code replica-turn} drives the protocol's timers;
 *   <li>threads of the peer links deliver messages, and any thread of the process may read and write;
 *   <li>{@code replica-tell} notifies listeners, without the lock ({@code ChangeNotifier});
 *   <li>only {@code replica-disk} writes {@link brackenbridge.fleet.replica.ReplicaDisk}, asynchronously and without
 *       the lock ({@code DiskWriter}); before that thread starts and after it ends, the thread that opens or closes the
 *       node writes.
 * </ul>
 */
package brackenbridge.fleet.replica;
