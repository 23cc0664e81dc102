/**
 * Scale tests of the distribution from control machines to nodes: control machines as processes of their own, nodes
 * that have the real control client and no data path ("hollow nodes"), a relay on every link for faults, and measured
 * times, bytes, processor time, memory, threads and descriptors. Files are under {@code lab/scale/}.
 */
package brackenbridge.lab.scale;
