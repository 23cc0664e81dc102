/** The rules that every run is held to, checked on what really crossed between clients, nodes and servers. */
package brackenbridge.lab.rules;
