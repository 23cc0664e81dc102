/** The management address: operators' calls to a running node, apart from its clients' requests. */
package brackenbridge.mgmt;
