/**
 * Replicated values, settings and role leases, decided by a majority of the voters through a MicroRaft log ({@code
 * docs/design/agreed.md}).
 *
 * <ul>
 * <li>{@link brackenbridge.fleet.agreed.AgreedValues} is the interface; {@link
 * brackenbridge.fleet.agreed.AgreementMember} implements it and runs the components of a member on one thread.
 * <li>Consensus: {@code RaftConsensus}, {@code AgreedStateMachine} with {@code AgreedState}, {@code VoterStore} (disk).
 * <li>Leader side: {@code LeaderService} with {@code LeaderLeases}, {@code ProposalService}.
 * <li>Client side of each member: {@code LeaseClient} with {@code LeaseView}, {@code RequestClient}.
 * <li>Start and recovery of a voter: {@code VoterRecovery}, which follows the rules of {@code VoterAdmission}.
 * <li>Serialization: {@code AgreementMessage}, {@code LogCommand}, {@code AgreementCodec}. The serialized names are
 * fixed and differ from the Java names: {@code reign} is a leader term, {@code founding} a Raft group, {@code word} a
 * decided version, {@code life} an incarnation.
 * </ul>
 */
package brackenbridge.fleet.agreed;
