/**
 * What a node needs as its fleet grows: one real node process before stand-in servers, few and many, under the same
 * traffic and with the same capacity of all servers together. Processor time, memory, descriptors, connections, bytes
 * of lists and the share served are each held against their bound.
 */
package brackenbridge.lab.grow;
