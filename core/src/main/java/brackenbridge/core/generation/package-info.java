/**
 * Agreement of the nodes on generations of settings: which node may use which generation, and until when. State
 * machines without sockets, files or clocks; docs/design/agreement.md describes their guarantees.
 */
package brackenbridge.core.generation;
