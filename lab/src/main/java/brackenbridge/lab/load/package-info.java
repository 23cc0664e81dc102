/** When requests are due, what they are, and what an answer to them is worth: the same in simulated and real time. */
package brackenbridge.lab.load;
