/** The second address: staff's calls to a running node, away from its clients' work. */
package brackenbridge.mgmt;
