/** Brings a world's troubles about, in simulated and in real time alike. */
package brackenbridge.lab.trouble;
