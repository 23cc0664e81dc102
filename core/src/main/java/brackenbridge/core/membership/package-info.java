/**
 * How a node learns its endpoint list: when it polls discovery, what silence means, which watch event is newer. One
 * state machine, {@link brackenbridge.core.membership.DiscoveryWatch}, runs in the node, on the simulator's wire and in
 * the laboratory; docs/design/membership.md has its states.
 */
package brackenbridge.core.membership;
