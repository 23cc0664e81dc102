/**
 * The soak: a real node process whose operators send signals in series, replace and drain it, while clients use every
 * connection until the end and servers and discovery fail. One seed draws a whole play; each request is checked at both
 * ends.
 */
package brackenbridge.lab.soak;
