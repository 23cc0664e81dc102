/** Random numbers of the laboratory: streams of one seed that never overlap, and the distributions drawn from them. */
package brackenbridge.lab.random;
