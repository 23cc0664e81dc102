/**
 * Generations of settings on which the nodes agree: which node may use which, and until when. State machines without
 * sockets, files or clocks; docs/design/agreement.md states what they guarantee.
 */
package brackenbridge.core.generation;
