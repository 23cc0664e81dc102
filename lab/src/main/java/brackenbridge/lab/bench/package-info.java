/** Micro-benchmarks of the hot paths, by JMH. */
package brackenbridge.lab.bench;
