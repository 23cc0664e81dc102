/** What a node sees of its pools, by class: for a fleet that wants to know more than one node sees. */
package brackenbridge.core.observe;
