/**
 * Connections between the members of a fleet: handshake, framing, backpressure and failure detection.
 *
 * <p>{@link brackenbridge.fleet.peer.PeerLinks} is the interface for other packages; {@code TcpPeerLinks} implements it
 * over TCP and composes:
 *
 * <ul>
 *   <li>{@code LinkContext}: identity, the lock, and all threads
 *   <li>{@code ConnectionRegistry}, {@code Peer}, {@code PeerConnection}, {@code SendQueue}: the connections
 *       and their queues
 *   <li>{@code Dialer}, {@code Acceptor}, {@code HandshakeValidator}, {@code RejectionHandler}: establishing
 *       connections
 *   <li>{@code ConnectionReader}, {@code HeartbeatTimer}: operating established connections
 *   <li>{@code Membership}: sends the failure detector's messages and passes its events to watchers and fault listeners
 * </ul>
 *
 * <p>{@code FailureDetector} has no I/O and no clock of its own. It follows SWIM (Das, Gupta and Motivala, DSN 2002)
 * and Lifeguard (Dadgar, Phillips and Currey, 2018). {@code Handshake}, {@code FrameCodec}, {@code SwimMessage} and
 * {@code WireFormat} define the wire format, which golden files pin.
 */
package brackenbridge.fleet.peer;
