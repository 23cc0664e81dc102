/**
 * How a node receives its endpoint list: when it polls discovery, when a watch is considered silent, which watch events
 * are accepted. The state machine, {@link brackenbridge.core.membership.DiscoveryWatch}, runs in the node, in the
 * simulator's wire process and in the laboratory; docs/design/membership.md describes its states.
 */
package brackenbridge.core.membership;
