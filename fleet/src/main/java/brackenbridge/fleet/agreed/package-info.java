/**
 * Values, settings and roles that a majority of the voters decides, on MicroRaft's log ({@code docs/design/agreed.md}).
 *
 * <ul>
 * <li>{@link brackenbridge.fleet.agreed.AgreedValues} is the interface; {@link
 * brackenbridge.fleet.agreed.AgreementMember} implements it and composes the parts of a member on one thread.
 * <li>Consensus: {@code RaftConsensus}, {@code AgreedStateMachine} with {@code AgreedState}, {@code VoterStore} (disk).
 * <li>The leader's services: {@code LeaderService} with {@code LeaderLeases}, {@code ProposalService}.
 * <li>A member's own side: {@code LeaseClient} with {@code LeaseView}, {@code RequestClient}.
 * <li>Start and recovery of a voter: {@code VoterRecovery} by the rules of {@code VoterAdmission}.
 * <li>Forms: {@code AgreementMessage}, {@code LogCommand}, {@code AgreementCodec}. Their serialized names are fixed and
 * older than the Java names: {@code reign} is a leader term, {@code founding} a Raft group, {@code word} a decision.
 * </ul>
 */
package brackenbridge.fleet.agreed;
