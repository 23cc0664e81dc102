/**
 * Links between the members of a fleet: handshake, frames, back-pressure and failure detection.
 *
 * <p>{@link brackenbridge.fleet.peer.PeerLinks} is what other packages use; {@code TcpPeerLinks} implements it over TCP
 * and composes:
 *
 * <ul>
 *   <li>{@code LinkContext}: identity, the one lock, and the owner of all threads
 *   <li>{@code ConnectionRegistry}, {@code Peer}, {@code PeerConnection}, {@code SendQueue}: which connections
 *   there are
 *   <li>{@code Dialer}, {@code Acceptor}, {@code HandshakeValidator}, {@code RejectionHandler}: how they come to be
 *   <li>{@code ConnectionReader}, {@code HeartbeatTimer}: what is done while they last
 *   <li>{@code Membership}: sends the failure detector's messages and passes its events to watchers and alarms
 * </ul>
 *
 * <p>{@code FailureDetector} has no I/O and no clock of its own. It follows SWIM (Das, Gupta and Motivala, DSN
 * 2002) and
 * Lifeguard (Dadgar, Phillips and Currey, 2018). {@code Handshake}, {@code FrameCodec}, {@code SwimMessage} and
 * {@code WireFormat} are the wire; its forms are pinned by golden files.
 */
package brackenbridge.fleet.peer;
